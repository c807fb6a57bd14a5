#include <topaztack/samples/job.hpp>

#include <topaztack/base/utf8.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace topaztack {

namespace json = boost::json;

namespace {

    constexpr std::size_t positionDigits = 8;
    constexpr char lastFragmentMark = '.';
    constexpr char moreFragmentsMark = '+';
    /// Names of fields, punctuation and the state of a result.
    constexpr std::size_t resultOverhead = 128;
    /// The digits of the largest version, and a comma.
    constexpr std::size_t maxVersionSize = 21;

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
        json::object object { { "id", result.id.value() }, { "completed", result.state == ItemState::Completed },
            { "output", result.output }, { "versions", versionsJson(result.versions) } };
        if (!result.score.empty())
            object["score"] = result.score;
        return json::serialize(object);
    }

    /// The library writes text that is not UTF-8, and parses it again only with this option.
    json::value parseAnyBytes(std::string_view text)
    {
        json::parse_options options;
        options.allow_invalid_utf8 = true;
        return json::parse(text, {}, options);
    }

    /// A result that an earlier version stored with text that is not UTF-8 keeps its place, without the text.
    ItemResult parseResult(std::string_view text)
    {
        const auto value = parseAnyBytes(text);
        ItemResult result;
        result.id = ItemId(json::value_to<std::string>(value.at("id")));
        result.state = value.at("completed").as_bool() ? ItemState::Completed : ItemState::Aborted;
        result.output = json::value_to<std::string>(value.at("output"));
        result.versions = parseVersions(value.at("versions"));
        if (const auto* score = value.as_object().if_contains("score"))
            result.score = json::value_to<std::string>(*score);
        if (!isUtf8(result.output) || !isUtf8(result.score))
            return { std::move(result.id), ItemState::Unreadable, "", {}, "" };
        return result;
    }

    json::object progressJson(const ItemId& id, const ItemProgress& progress)
    {
        json::object object { { "id", id.value() }, { "output", progress.output },
            { "versions", versionsJson(progress.versions) }, { "last_event", *progress.lastEvent },
            { "software", progress.softwareVersion }, { "whole", progress.isComplete } };
        if (progress.score)
            object["score"]
                = json::object { { "call", progress.score->call.value() }, { "value", progress.score->value } };
        return object;
    }

    ItemProgress parseProgress(const json::value& value)
    {
        ItemProgress progress;
        progress.output = json::value_to<std::string>(value.at("output"));
        progress.versions = parseVersions(value.at("versions"));
        progress.lastEvent = value.at("last_event").to_number<std::uint64_t>();
        progress.isComplete = value.at("whole").as_bool();
        // Texts saved by earlier releases lack this field.
        if (const auto* software = value.as_object().if_contains("software"))
            progress.softwareVersion = json::value_to<std::string>(*software);
        if (const auto* score = value.as_object().if_contains("score"))
            progress.score = ItemScore { RequestId(json::value_to<std::string>(score->at("call"))),
                json::value_to<std::string>(score->at("value")) };
        return progress;
    }

} // namespace

bool isListable(const JobItem& item, const ItemProgress& progress)
{
    if (!progress.isComplete)
        return false;
    return !item.scoring || (progress.score && progress.score->call == item.scoring->id);
}

bool satisfiesVersionRequirement(const ItemProgress& progress, WeightVersion oldest, bool isSingleVersion)
{
    if (isSingleVersion && progress.versions.size() > 1)
        return false;
    return std::all_of(progress.versions.begin(), progress.versions.end(),
        [oldest](const WeightVersion& version) { return version >= oldest; });
}

std::string toText(const JobHead& head)
{
    json::object inFlight;
    for (const auto& [server, count] : head.inFlight)
        inFlight[server.value()] = count;
    json::object object {
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
    };
    if (!head.workspace.value().empty())
        object["workspace"] = head.workspace.value();
    return json::serialize(object);
}

Result<JobHead> parseJobHead(std::string_view text)
{
    try {
        // Host and path are what the caller sent.
        const auto value = parseAnyBytes(text);
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
        if (const auto* workspace = value.as_object().if_contains("workspace"))
            head.workspace = WorkspaceName(json::value_to<std::string>(*workspace));
        for (const auto& entry : value.at("in_flight").as_object())
            head.inFlight[BackendName(std::string(entry.key()))] = entry.value().to_number<std::uint32_t>();
        return head;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("malformed job head: ") + problem.what());
    }
}

std::string toText(const std::map<ItemId, ItemProgress>& items)
{
    json::array list;
    for (const auto& [id, progress] : items) {
        if (progress.lastEvent)
            list.push_back(progressJson(id, progress));
    }
    return json::serialize(list);
}

Result<std::map<ItemId, ItemProgress>> parseItemProgress(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        std::map<ItemId, ItemProgress> items;
        for (const auto& entry : value.as_array())
            items.emplace(ItemId(json::value_to<std::string>(entry.at("id"))), parseProgress(entry));
        return items;
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("malformed progress of items: ") + problem.what());
    }
}

std::size_t jsonSize(std::string_view text)
{
    constexpr std::size_t shortEscapeSize = 2;
    constexpr std::size_t longEscapeSize = 6;
    std::size_t size = 0;
    for (const char character : text) {
        // A short escape is that of a quote, a backslash, or \b, \t, \n, \f or \r.
        const bool isShort
            = character == '"' || character == '\\' || (character >= '\b' && character <= '\r' && character != '\v');
        const bool isControl = static_cast<unsigned char>(character) < ' ';
        size += isShort ? shortEscapeSize : (isControl ? longEscapeSize : 1);
    }
    return size;
}

std::size_t jsonSize(const ItemProgress& progress)
{
    return jsonSize(progress.output) + maxVersionSize * progress.versions.size();
}

bool appendEvent(
    ItemProgress& progress, std::uint64_t number, std::string_view data, WeightVersion version, std::size_t& size)
{
    auto& versions = progress.versions;
    const bool isNewVersion = std::find(versions.begin(), versions.end(), version) == versions.end();
    const std::string_view separator = progress.lastEvent ? "\n" : "";
    const auto added = jsonSize(separator) + jsonSize(data) + (isNewVersion ? maxVersionSize : 0);
    if (size + added > maxStoredTextBytes)
        return false;
    size += added;
    if (isNewVersion)
        versions.push_back(version);
    progress.output += separator;
    progress.output += data;
    progress.lastEvent = number;
    return true;
}

std::size_t jsonSize(const ItemResult& result)
{
    return resultOverhead + jsonSize(result.id.value()) + jsonSize(result.output) + jsonSize(result.score)
        + maxVersionSize * result.versions.size();
}

std::string resultKey(std::uint64_t position) { return padded(position, positionDigits); }

std::vector<ResultFragment> splitResult(std::uint64_t position, const ItemResult& result, std::size_t maxValueBytes)
{
    const auto text = resultText(result);
    std::vector<ResultFragment> fragments;
    for (std::size_t start = 0; start < text.size(); start += maxValueBytes - 1) {
        const bool isLast = text.size() - start <= maxValueBytes - 1;
        auto key = resultKey(position);
        if (start > 0)
            key += "/" + padded(fragments.size(), 4);
        fragments.push_back({ std::move(key),
            (isLast ? lastFragmentMark : moreFragmentsMark) + text.substr(start, maxValueBytes - 1) });
    }
    return fragments;
}

Result<std::vector<ItemResult>> joinResults(std::uint64_t position, const std::vector<ResultFragment>& fragments)
{
    std::vector<ItemResult> results;
    std::string text;
    try {
        for (const auto& fragment : fragments) {
            if (!fragment.key.starts_with(resultKey(position)))
                break;
            text += fragment.value.substr(1);
            if (fragment.value.at(0) == moreFragmentsMark)
                continue;
            results.push_back(parseResult(text));
            text.clear();
            ++position;
        }
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadFrame, std::string("malformed result row: ") + problem.what());
    }
    return results;
}

} // namespace topaztack
