#include <topaztack/base/utf8.hpp>

#include <boost/locale/utf.hpp>

namespace topaztack {

bool isUtf8(std::string_view text)
{
    using Traits = boost::locale::utf::utf_traits<char>;
    const auto* place = text.data();
    const auto* const end = place + text.size();
    while (place != end) {
        const auto codePoint = Traits::decode(place, end);
        if (codePoint == boost::locale::utf::illegal || codePoint == boost::locale::utf::incomplete)
            return false;
    }
    return true;
}

} // namespace topaztack
