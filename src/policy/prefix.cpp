#include <topaztack/policy/prefix.hpp>

#include <topaztack/base/random.hpp>

namespace topaztack {

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = 0;
    while (prompt.size() >= prefixBlockSize) {
        chain = stableHash(prompt.substr(0, prefixBlockSize), chain);
        blocks.push_back(chain);
        prompt.remove_prefix(prefixBlockSize);
    }
    return blocks;
}

} // namespace topaztack
