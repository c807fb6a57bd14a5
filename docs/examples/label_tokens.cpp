#include <topaztack/samples/version_span.hpp>

#include <iostream>

int main()
{
    topaztack::VersionSpans spans;
    topaztack::appendChunk(spans, topaztack::WeightVersion(7), 3);
    topaztack::appendChunk(spans, topaztack::WeightVersion(7), 2);
    topaztack::appendChunk(spans, topaztack::WeightVersion(8), 4);
    for (const auto& span : spans)
        std::cout << "version " << span.version.value() << ": [" << span.from << ", " << span.to << ")\n";
    // version 7: [0, 5)
    // version 8: [5, 9)
    return topaztack::coversAllTokens(spans, 9) ? 0 : 1;
}
