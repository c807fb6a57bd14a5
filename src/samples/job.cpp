#include <topaztack/samples/job.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;

namespace {

    constexpr std::size_t positionDigits = 8;
    constexpr char lastPiece = '.';
    constexpr char morePieces = '+';

    std::string padded(std::uint64_t number, std::size_t digits)
    {
        auto text = std::to_string(number);
        if (text.size() < digits)
            text.insert(0, digits - text.size(), '0');
        return text;
    }

    json::array versionsJson(const std::vector<WeightVersion>& versions)
    {
        json::array list;
        for (const auto& version : versions)
            list.emplace_back(version.value());
        return list;
    }

    std::vector<WeightVersion> parseVersions(const json::value& value)
    {
        std::vector<WeightVersion> versions;
        for (const auto& version : value.as_array())
            versions.emplace_back(version.to_number<std::uint64_t>());
        return versions;
    }

    std::string resultText(const ItemResult& result)
    {
        return json::serialize(
            json::object { { "id", result.id.value() }, { "completed", result.state == ItemState::Completed },
                { "output", result.output }, { "versions", versionsJson(result.versions) } });
    }

    ItemResult parseResult(std::string_view text)
    {
        const auto value = json::parse(text);
        ItemResult result;
        result.id = ItemId(json::value_to<std::string>(value.at("id")));
        result.state = value.at("completed").as_bool() ? ItemState::Completed : ItemState::Aborted;
        result.output = json::value_to<std::string>(value.at("output"));
        result.versions = parseVersions(value.at("versions"));
        return result;
    }

} // namespace

bool satisfiesVersionRequirement(const ItemProgress& text, WeightVersion oldest, bool isSingleVersion)
{
    if (isSingleVersion && text.versions.size() > 1)
        return false;
    return std::all_of(text.versions.begin(), text.versions.end(),
        [oldest](const WeightVersion& version) { return version >= oldest; });
}

std::string toText(const JobHead& head)
{
    json::object inFlight;
    for (const auto& [server, count] : head.inFlight)
        inFlight[server.value()] = count;
    return json::serialize(json::object {
        { "owner", head.owner.name.value() },
        { "incarnation", head.owner.incarnation.value() },
        { "ended", head.isEnded },
        { "listed", head.listed },
        { "total", head.total },
        { "objects", head.objects },
        { "writes", head.writes },
        { "accepted_ms", head.acceptedAt.count() },
        { "configuration", head.configuration.value() },
        { "waiting", head.waiting },
        { "text_objects", head.textObjects },
        { "host", head.host },
        { "path", head.path },
        { "model", head.model.value() },
        { "in_flight", std::move(inFlight) },
    });
}

Result<JobHead> parseJobHead(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        JobHead head;
        head.owner.name = VmName(json::value_to<std::string>(value.at("owner")));
        head.owner.incarnation = Incarnation(value.at("incarnation").to_number<std::uint64_t>());
        head.isEnded = value.at("ended").as_bool();
        head.listed = value.at("listed").to_number<std::uint64_t>();
        head.total = value.at("total").to_number<std::uint64_t>();
        head.objects = value.at("objects").to_number<std::uint64_t>();
        head.writes = value.at("writes").to_number<std::uint64_t>();
        head.acceptedAt = std::chrono::milliseconds(value.at("accepted_ms").to_number<std::int64_t>());
        head.configuration = ConfigVersion(value.at("configuration").to_number<std::uint64_t>());
        head.waiting = value.at("waiting").to_number<std::uint64_t>();
        head.textObjects = value.at("text_objects").to_number<std::uint64_t>();
        head.host = json::value_to<std::string>(value.at("host"));
        head.path = json::value_to<std::string>(value.at("path"));
        head.model = ModelName(json::value_to<std::string>(value.at("model")));
        for (const auto& entry : value.at("in_flight").as_object())
            head.inFlight[BackendName(std::string(entry.key()))] = entry.value().to_number<std::uint32_t>();
        return head;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("job head not understood: ") + problem.what());
    }
}

std::string toText(const std::map<ItemId, ItemProgress>& texts)
{
    json::array list;
    for (const auto& [id, text] : texts) {
        if (!text.lastEvent)
            continue;
        list.push_back(
            json::object { { "id", id.value() }, { "output", text.output }, { "versions", versionsJson(text.versions) },
                { "last_event", *text.lastEvent }, { "whole", text.isComplete } });
    }
    return json::serialize(list);
}

Result<std::map<ItemId, ItemProgress>> parseItemProgress(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        std::map<ItemId, ItemProgress> texts;
        for (const auto& entry : value.as_array()) {
            ItemProgress each;
            each.output = json::value_to<std::string>(entry.at("output"));
            each.versions = parseVersions(entry.at("versions"));
            each.lastEvent = entry.at("last_event").to_number<std::uint64_t>();
            each.isComplete = entry.at("whole").as_bool();
            texts.emplace(ItemId(json::value_to<std::string>(entry.at("id"))), std::move(each));
        }
        return texts;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("texts of items not understood: ") + problem.what());
    }
}

std::string resultKey(std::uint64_t position) { return padded(position, positionDigits); }

std::vector<ResultFragment> splitResult(std::uint64_t position, const ItemResult& result, std::size_t longest)
{
    const auto text = resultText(result);
    std::vector<ResultFragment> pieces;
    for (std::size_t start = 0; start < text.size(); start += longest - 1) {
        const bool isLast = text.size() - start <= longest - 1;
        auto key = resultKey(position);
        if (start > 0)
            key += "/" + padded(pieces.size(), 4);
        pieces.push_back({ std::move(key), (isLast ? lastPiece : morePieces) + text.substr(start, longest - 1) });
    }
    return pieces;
}

Result<std::vector<ItemResult>> joinResults(std::uint64_t position, const std::vector<ResultFragment>& pieces)
{
    std::vector<ItemResult> results;
    std::string text;
    try {
        for (const auto& piece : pieces) {
            if (!piece.key.starts_with(resultKey(position)))
                break;
            text += piece.value.substr(1);
            if (piece.value.at(0) == morePieces)
                continue;
            results.push_back(parseResult(text));
            text.clear();
            ++position;
        }
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("result row not understood: ") + problem.what());
    }
    return results;
}

} // namespace topaztack
