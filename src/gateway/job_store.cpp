#include "job_store.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/wire/content_digest.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view resultsTable = "job-results";
    /// Transactions of one part run one after the other. 16 parts are enough to keep the jobs of the present trainers
    /// apart.
    constexpr std::uint64_t partCount = 16;
    /// Limit for the text objects that the head does not refer to, because an owner stored them and died before it
    /// wrote the head.
    constexpr std::uint64_t maxUnreferencedTextObjects = 1;
    /// Limit for the conditions, writes and removals of one transaction.
    constexpr std::size_t maxWritesPerTransaction = 90;

    std::string partOf(const JobId& id) { return "p" + std::to_string(stableHash(id.value()) % partCount); }

    StoreRowKey headKey(const JobId& id) { return { std::string(jobHeadsTable), partOf(id), id.value() }; }

    std::string resultPrefix(const JobId& id) { return id.value() + "/"; }

    StoreRange resultRange(const JobId& id, std::uint64_t position)
    {
        StoreRange range;
        range.table = resultsTable;
        range.part = partOf(id);
        range.from = resultPrefix(id) + resultKey(position);
        // In ASCII, `0` follows the `/` at the end of the prefix.
        range.to = id.value() + "0";
        return range;
    }

    /// Objects are written before the head decides whose job it is, and are never replaced. Each workspace has its own,
    /// so that none can give its text to another one's job.
    std::string objectPrefix(const JobId& id, const WorkspaceName& workspace)
    {
        const auto owner = workspace.value().empty()
            ? std::string()
            : "workspace-" + contentDigest({ "workspace", workspace.value() }) + "-";
        return owner + "job-" + id.value() + "-";
    }

    ObjectKey submissionKey(const JobId& id, const WorkspaceName& workspace, std::uint64_t index)
    {
        return ObjectKey(objectPrefix(id, workspace) + std::to_string(index));
    }

    ObjectKey textsKey(const JobId& id, const WorkspaceName& workspace, std::uint64_t number)
    {
        return ObjectKey(objectPrefix(id, workspace) + "texts-" + std::to_string(number));
    }

    StoreTransaction headTransaction(const JobId& id, RowVersion condition, const JobHead& head)
    {
        StoreTransaction transaction;
        transaction.conditions.push_back({ headKey(id), condition });
        transaction.writes.push_back({ headKey(id), toText(head) });
        return transaction;
    }

    Result<std::vector<ItemResult>> toResults(const JobId& id, std::uint64_t position, const StoreRows& rows)
    {
        const auto prefix = resultPrefix(id).size();
        std::vector<ResultFragment> pieces;
        for (const auto& row : rows.rows)
            pieces.push_back({ row.place.key.substr(std::min(prefix, row.place.key.size())), row.value });
        auto results = joinResults(position, pieces);
        if (!results)
            return results;
        for (const auto& result : results.value()) {
            if (result.state == ItemState::Unreadable)
                logEvent(LogLevel::Warning, "result-unreadable",
                    { { "job", id.value() }, { "item", result.id.value() }, { "error", "its text is not UTF-8" } });
        }
        return results;
    }

    JobWriteResult toJobWriteResult(const Result<StoreCommit>& commit, const JobHead& head)
    {
        JobWriteResult write;
        if (!commit) {
            const bool mayHaveTakenEffect = commit.error().kind == ErrorKind::PlatformAmbiguous;
            write.outcome = mayHaveTakenEffect ? JobWriteOutcome::Unknown : JobWriteOutcome::Refused;
            return write;
        }
        if (commit.value().isCommitted) {
            write.outcome = JobWriteOutcome::Written;
            write.current = StoredHead { commit.value().version, head };
            return write;
        }
        write.outcome = JobWriteOutcome::Conflict;
        for (const auto& row : commit.value().conflicts) {
            if (row.version.value() == 0 || row.isRemoved)
                continue;
            auto current = toStoredHead(row);
            if (current)
                write.current = std::move(current).value();
            else
                logEvent(LogLevel::Error, "job-head-invalid",
                    { { "job", row.place.key }, { "error", current.error().message } });
        }
        return write;
    }

} // namespace

std::vector<std::string> jobParts()
{
    std::vector<std::string> parts;
    for (std::uint64_t part = 0; part < partCount; ++part)
        parts.push_back("p" + std::to_string(part));
    return parts;
}

Result<StoredHead> toStoredHead(const StoreRow& row)
{
    BOOST_OUTCOME_TRY(auto head, parseJobHead(row.value));
    return StoredHead { row.version, std::move(head) };
}

JobStore::JobStore(GatewayContext& context)
    : context(context)
{
}

/// Values are stored as base64, which takes four characters for three bytes.
std::size_t JobStore::maxPieceBytes() const { return this->context.settings.gateway.rowBytes / 4 * 3; }

std::uint64_t JobStore::countSubmissionObjects(std::size_t size) const
{
    const auto maxObjectBytes = this->context.settings.gateway.objectBytes;
    return std::max<std::uint64_t>(1, (size + maxObjectBytes - 1) / maxObjectBytes);
}

asio::awaitable<Result<void>> JobStore::putSubmission(const StoredSubmission& submission)
{
    const auto maxObjectBytes = this->context.settings.gateway.objectBytes;
    for (std::uint64_t index = 0; index < this->countSubmissionObjects(submission.body.size()); ++index) {
        auto stored = co_await this->context.store.putObject(submissionKey(submission.id, submission.workspace, index),
            submission.body.substr(index * maxObjectBytes, maxObjectBytes));
        if (!stored)
            co_return std::move(stored).error();
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<void> JobStore::dropSubmission(const StoredSubmission& submission)
{
    for (std::uint64_t index = 0; index < this->countSubmissionObjects(submission.body.size()); ++index) {
        const auto dropped
            = co_await this->context.store.dropObject(submissionKey(submission.id, submission.workspace, index));
        if (!dropped)
            logEvent(LogLevel::Info, "submission-not-removed",
                { { "job", submission.id.value() }, { "error", dropped.error().message } });
    }
}

asio::awaitable<Result<StoredSubmission>> JobStore::readSubmission(JobId id, JobHead head)
{
    StoredSubmission submission;
    submission.id = id;
    submission.host = head.host;
    submission.path = head.path;
    submission.workspace = head.workspace;
    for (std::uint64_t index = 0; index < head.objects; ++index) {
        auto piece = co_await this->context.store.getObject(submissionKey(id, head.workspace, index));
        if (!piece)
            co_return std::move(piece).error();
        submission.body += piece.value();
    }
    co_return std::move(submission);
}

asio::awaitable<Result<bool>> JobStore::putTexts(
    JobId id, WorkspaceName workspace, std::uint64_t number, std::string texts)
{
    co_return co_await this->context.store.putObject(textsKey(id, workspace, number), std::move(texts));
}

asio::awaitable<Result<void>> JobStore::removeTexts(JobId id, WorkspaceName workspace, std::uint64_t number)
{
    co_return co_await this->context.store.dropObject(textsKey(id, workspace, number));
}

asio::awaitable<Result<std::map<ItemId, ItemProgress>>> JobStore::readTexts(
    JobId id, WorkspaceName workspace, std::uint64_t objects)
{
    if (objects == 0)
        co_return std::map<ItemId, ItemProgress> {};
    const auto bytes = co_await this->context.store.getObject(textsKey(id, workspace, objects - 1));
    if (!bytes)
        co_return bytes.error();
    co_return parseItemProgress(bytes.value());
}

asio::awaitable<JobWriteResult> JobStore::write(
    JobId id, RowVersion condition, JobHead head, std::uint64_t position, std::vector<ItemResult> results)
{
    auto transaction = headTransaction(id, condition, head);
    for (const auto& result : results) {
        for (auto& piece : splitResult(position, result, this->maxPieceBytes()))
            transaction.writes.push_back(
                { { std::string(resultsTable), partOf(id), resultPrefix(id) + piece.key }, std::move(piece.value) });
        ++position;
    }
    const auto commit = co_await this->context.store.commit(std::move(transaction));
    co_return toJobWriteResult(commit, head);
}

asio::awaitable<Result<std::optional<StoredHead>>> JobStore::readHead(JobId id)
{
    const auto place = headKey(id);
    StoreRange range;
    range.table = place.table;
    range.part = place.part;
    range.from = place.key;
    range.to = place.key + '\x01';
    const auto rows = co_await this->context.store.readPage(range);
    if (!rows)
        co_return rows.error();
    std::optional<StoredHead> found;
    for (const auto& row : rows.value().rows) {
        if (row.place.key != place.key)
            continue;
        auto head = toStoredHead(row);
        if (!head)
            co_return std::move(head).error();
        found = std::move(head).value();
    }
    co_return std::move(found);
}

asio::awaitable<Result<std::vector<ItemResult>>> JobStore::readResults(JobId id, std::uint64_t position)
{
    const auto rows = co_await this->context.store.readPage(resultRange(id, position));
    if (!rows)
        co_return rows.error();
    co_return toResults(id, position, rows.value());
}

asio::awaitable<Result<std::vector<ItemResult>>> JobStore::readAllResults(JobId id, std::uint64_t position)
{
    const auto rows = co_await this->context.store.read(resultRange(id, position));
    if (!rows)
        co_return rows.error();
    co_return toResults(id, position, rows.value());
}

asio::awaitable<Result<void>> JobStore::remove(JobId id, StoredHead head)
{
    const auto rows = co_await this->context.store.read(resultRange(id, 0));
    if (!rows)
        co_return rows.error();
    std::size_t next = 0;
    const auto& all = rows.value().rows;
    while (next < all.size()) {
        StoreTransaction transaction;
        for (; next < all.size() && transaction.writes.size() < maxWritesPerTransaction; ++next)
            transaction.writes.push_back({ all[next].place, std::nullopt });
        const auto removed = co_await this->context.store.commit(std::move(transaction));
        if (!removed)
            co_return removed.error();
    }
    for (std::uint64_t index = 0; index < head.head.objects; ++index) {
        const auto dropped = co_await this->context.store.dropObject(submissionKey(id, head.head.workspace, index));
        if (!dropped)
            co_return dropped.error();
    }
    for (std::uint64_t number = 0; number < head.head.textObjects + maxUnreferencedTextObjects; ++number) {
        const auto dropped = co_await this->context.store.dropObject(textsKey(id, head.head.workspace, number));
        if (!dropped)
            co_return dropped.error();
    }
    StoreTransaction last;
    last.conditions.push_back({ headKey(id), head.version });
    last.writes.push_back({ headKey(id), std::nullopt });
    const auto removed = co_await this->context.store.commit(std::move(last));
    if (!removed)
        co_return removed.error();
    co_return boost::outcome_v2::success();
}

} // namespace topaztack
