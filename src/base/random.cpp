#include <topaztack/base/random.hpp>

#include <random>

namespace topaztack {

namespace {

    constexpr std::uint64_t goldenGamma = 0x9e3779b97f4a7c15ULL;
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
    constexpr int doubleMantissaBits = 53;

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

} // namespace

std::uint64_t Random::next()
{
    this->state += goldenGamma;
    return mix(this->state);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    if (bound == 0)
        return 0;
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(this->next()) * bound) >> 64);
}

double Random::unit() { return static_cast<double>(this->next() >> (64 - doubleMantissaBits)) * 0x1.0p-53; }

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = fnvOffset ^ mix(seed);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    return mix(hash);
}

std::string toHex(std::uint64_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place) {
        *place = digits[value & 0xF];
        value >>= 4;
    }
    return text;
}

} // namespace topaztack
