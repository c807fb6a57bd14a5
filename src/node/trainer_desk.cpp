#include <topaztack/node/trainer_desk.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/node/service_relay.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

    constexpr std::uint64_t mostSamplesAtOnce = 1000;

    std::uint64_t numberParameter(std::string_view target, std::string_view name, std::uint64_t fallback)
    {
        const auto text = queryParameter(target, name);
        std::uint64_t number = fallback;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string slotsBody(std::uint64_t slots) { return json::serialize(json::object { { "slots", slots } }); }

    std::string samplesBody(json::array samples)
    {
        json::object body;
        body["samples"] = std::move(samples);
        return json::serialize(body);
    }

    json::object sampleJson(const DeliveredSample& sample)
    {
        json::array spans;
        for (const auto& span : sample.generation.spans)
            spans.push_back({ { "version", span.version.value() }, { "from", span.from }, { "to", span.to } });
        return {
            { "seq", sample.sequence.value() },
            { "step", sample.step.value() },
            { "group", sample.group.value() },
            { "index", sample.index.value() },
            { "text", sample.generation.text },
            { "token_ids", json::value_from(sample.generation.tokens) },
            { "weight_versions", std::move(spans) },
        };
    }

} // namespace

TrainerDesk::TrainerDesk(NodeContext& context, CompletionRelay& completions)
    : context(context)
    , completions(completions)
{
}

void TrainerDesk::addRoutes(HttpRouter& callers)
{
    callers.add(
        "POST", "/v1/trainers/{}/groups", [this](HttpExchange& exchange) { return this->handleGroups(exchange); });
    callers.add(
        "GET", "/v1/trainers/{}/samples", [this](HttpExchange& exchange) { return this->handleSamples(exchange); });
}

asio::awaitable<void> TrainerDesk::handleGroups(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto accepted = this->context.document();
    const TrainerName name(std::string(pathSegment(targetPath(exchange.request().target), 2)));
    const auto* trainer = accepted ? findTrainer(accepted->document, name) : nullptr;
    if (!trainer) {
        co_await exchange.respond(errorWithOutcome(
            makeError(ErrorKind::UnknownTrainer, "no trainer `" + name.value() + "`"), id, Outcome::NotRun));
        co_return;
    }
    std::uint64_t slots = 0;
    std::string wrong;
    try {
        const auto body = json::parse(exchange.request().body);
        const StepNumber step(body.at("step").to_number<std::uint64_t>());
        for (const auto& group : body.at("groups").as_array()) {
            const auto samples = group.at("samples").to_number<std::uint32_t>();
            for (std::uint32_t index = 0; index < samples; ++index) {
                GenerationRequest request;
                request.id = this->context.newRequestId();
                request.pool = trainer->pool;
                request.prompt = json::value_to<std::string>(group.at("prompt"));
                request.maxTokens = trainer->maxTokens;
                request.deadline = Clock::now() + std::chrono::minutes(21);
                DeliveredSample slot;
                slot.step = step;
                slot.group = GroupId(json::value_to<std::string>(group.at("id")));
                slot.index = SampleIndex(index);
                asio::co_spawn(this->context.threads.at(IoThreads::here()),
                    this->fillSlot(name, std::move(slot), std::move(request)), asio::detached);
                ++slots;
            }
        }
    } catch (const std::exception& problem) {
        wrong = problem.what();
    }
    if (!wrong.empty())
        co_await exchange.respond(
            errorWithOutcome(makeError(ErrorKind::BadRequest, "groups not understood: " + wrong), id, Outcome::NotRun));
    else
        co_await exchange.respond(withOutcome(jsonResponse(202, slotsBody(slots)), Outcome::Ran));
}

asio::awaitable<void> TrainerDesk::fillSlot(TrainerName trainer, DeliveredSample slot, GenerationRequest request)
{
    auto result = co_await this->completions.generate(std::move(request), {});
    if (!result) {
        logEvent(LogLevel::Warning, "sample-failed",
            { { "trainer", trainer.value() }, { "error", toText(result.error().error) } });
        co_return;
    }
    slot.generation = std::move(result).value();
    const std::lock_guard guard(this->lock);
    auto& list = this->delivered[trainer];
    slot.sequence = SequenceNumber(list.size() + 1);
    list.push_back(std::move(slot));
}

asio::awaitable<void> TrainerDesk::handleSamples(HttpExchange& exchange)
{
    const auto& target = exchange.request().target;
    const TrainerName name(std::string(pathSegment(targetPath(target), 2)));
    const auto after = numberParameter(target, "after", 0);
    const auto most = std::min(numberParameter(target, "max", mostSamplesAtOnce), mostSamplesAtOnce);
    json::array samples;
    {
        const std::lock_guard guard(this->lock);
        const auto& list = this->delivered[name];
        for (std::uint64_t place = after; place < list.size() && samples.size() < most; ++place)
            samples.push_back(sampleJson(list[place]));
    }
    co_await exchange.respond(withOutcome(jsonResponse(200, samplesBody(std::move(samples))), Outcome::Ran));
}

json::value TrainerDesk::dump() const
{
    const std::lock_guard guard(this->lock);
    json::object trainers;
    for (const auto& [name, list] : this->delivered)
        trainers[name.value()] = list.size();
    return trainers;
}

} // namespace topaztack
