#pragma once

#include <topaztack/base/random.hpp>

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Damages texts at random, the same way for the same seed.

namespace topaztack::fuzzing {

inline constexpr std::uint64_t seed = 20261203;
inline constexpr int inputsForEachSubject = 20'000;

/// @brief One to eight changes: bytes flipped, set, removed, doubled, cut off, or a piece of another text put in.
inline std::string mutate(const std::vector<std::string>& corpus, Random& random)
{
    std::string text = corpus[random.below(corpus.size())];
    const auto changes = 1 + random.below(8);
    for (std::uint64_t change = 0; change < changes; ++change) {
        const auto place = static_cast<std::size_t>(random.below(text.size() + 1));
        const auto& other = corpus[random.below(corpus.size())];
        const auto start = static_cast<std::size_t>(random.below(other.size() + 1));
        const auto length = static_cast<std::size_t>(random.below(16));
        switch (random.below(6)) {
        case 0:
            if (place < text.size())
                text[place] = static_cast<char>(static_cast<unsigned char>(text[place]) ^ (1U << random.below(8)));
            break;
        case 1:
            if (place < text.size())
                text[place] = static_cast<char>(random.below(256));
            break;
        case 2:
            text.erase(place, length);
            break;
        case 3:
            text.insert(place, text.substr(place, length));
            break;
        case 4:
            text.insert(place, other.substr(start, length * 8));
            break;
        default:
            text.resize(place);
        }
    }
    return text;
}

/// @brief Calls `use` with the corpus itself and then with damaged texts.
template <typename Use> void fuzz(const std::vector<std::string>& corpus, const Use& use)
{
    Random random(seed);
    for (const auto& text : corpus)
        use(text);
    for (int input = 0; input < inputsForEachSubject; ++input)
        use(mutate(corpus, random));
}

} // namespace topaztack::fuzzing
