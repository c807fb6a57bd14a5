#include <topaztack/samples/version_span.hpp>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace topaztack;

TEST_GROUP(VersionSpan) {};

TEST(VersionSpan, EveryTokenIsLabelledWithTheVersionOfItsChunk)
{
    CHECK_TRUE(rc::check("spans agree with per-token labels", [] {
        const auto chunks = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(1, 4), rc::gen::inRange<std::uint8_t>(0, 5)));
        VersionSpans spans;
        std::vector<std::uint64_t> labels;
        for (const auto& [version, tokens] : chunks) {
            appendChunk(spans, WeightVersion(version), tokens);
            labels.insert(labels.end(), tokens, version);
        }
        RC_ASSERT(coversAllTokens(spans, static_cast<std::uint32_t>(labels.size())));
        std::uint64_t oldest = 255;
        for (std::uint32_t token = 0; token < labels.size(); ++token) {
            std::uint64_t label = 0;
            for (const auto& span : spans) {
                if (span.from <= token && token < span.to)
                    label = span.version.value();
            }
            RC_ASSERT(label == labels[token]);
            oldest = std::min(oldest, labels[token]);
        }
        RC_ASSERT(labels.empty() == !oldestVersion(spans).has_value());
        RC_ASSERT(labels.empty() || oldestVersion(spans)->value() == oldest);
    }));
}

TEST(VersionSpan, GapsOverlapsAndShortSpansDoNotCoverAllTokens)
{
    const WeightVersion one(1);
    CHECK_TRUE(coversAllTokens({ { one, 0, 3 }, { WeightVersion(2), 3, 5 } }, 5));
    CHECK_FALSE(coversAllTokens({ { one, 0, 3 }, { WeightVersion(2), 4, 5 } }, 5));
    CHECK_FALSE(coversAllTokens({ { one, 0, 3 }, { WeightVersion(2), 2, 5 } }, 5));
    CHECK_FALSE(coversAllTokens({ { one, 1, 5 } }, 5));
    CHECK_FALSE(coversAllTokens({ { one, 0, 4 } }, 5));
    CHECK_FALSE(coversAllTokens({}, 1));
}
