#include <topaztack/node/ledger_store.hpp>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr auto objectPause = std::chrono::milliseconds(100);

    RowKey rowOf(const TrainerName& trainer) { return RowKey("trainer/" + trainer.value()); }

    Result<LedgerCopy> toCopy(Result<RowCopy> row)
    {
        if (!row)
            return std::move(row).error();
        auto ledger = decodeLedger(row.value().value);
        if (!ledger)
            return std::move(ledger).error();
        return LedgerCopy { std::move(ledger).value(), std::move(row).value() };
    }

    Result<std::optional<std::string>> changeText(
        const LedgerChange& change, const std::string& text, const OperationId& operation)
    {
        auto ledger = decodeLedger(text);
        if (!ledger)
            return std::move(ledger).error();
        const auto isChanged = change(ledger.value());
        if (!isChanged)
            return isChanged.error();
        if (!isChanged.value())
            return std::optional<std::string> {};
        recordOperation(ledger.value(), operation);
        return std::optional<std::string>(encodeLedger(ledger.value()));
    }

} // namespace

LedgerStore::LedgerStore(NodeContext& context)
    : context(context)
    , rows(context)
{
}

asio::awaitable<Result<LedgerCopy>> LedgerStore::read(TrainerName trainer)
{
    auto row = co_await this->rows.read(rowOf(trainer));
    co_return toCopy(std::move(row));
}

asio::awaitable<Result<LedgerCopy>> LedgerStore::update(
    TrainerName trainer, LedgerChange change, std::optional<RowCopy> known, TimePoint giveUp)
{
    RowChange changeRow = [change = std::move(change)](const std::string& text, const OperationId& operation) {
        return changeText(change, text, operation);
    };
    auto row = co_await this->rows.update(rowOf(trainer), std::move(changeRow), std::move(known), giveUp);
    co_return toCopy(std::move(row));
}

asio::awaitable<Result<void>> LedgerStore::put(ObjectKey key, std::string value, TimePoint giveUp)
{
    while (true) {
        auto done = co_await this->context.clients().platform.putObject(key, value);
        if (done || Clock::now() >= giveUp)
            co_return done;
        co_await waitFor(this->context, objectPause);
    }
}

asio::awaitable<Result<std::string>> LedgerStore::get(ObjectKey key, TimePoint giveUp)
{
    while (true) {
        auto value = co_await this->context.clients().platform.getObject(key);
        if (value || value.error().kind == ErrorKind::ObjectMissing || Clock::now() >= giveUp)
            co_return value;
        co_await waitFor(this->context, objectPause);
    }
}

ObjectKey LedgerStore::newObject(std::string_view kind, const TrainerName& trainer)
{
    return ObjectKey(std::string(kind) + "/" + trainer.value() + "/" + this->context.newOperation().value());
}

} // namespace topaztack
