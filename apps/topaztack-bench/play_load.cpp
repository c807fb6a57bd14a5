#include "play.hpp"

#include <topaztack/wire/sse.hpp>

#include <boost/json.hpp>

/// The callers: bookings with tickets and with keys of their own, reads, completions whole and streamed.

namespace topaztack::bench {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds bookingTimeout { 8000 };
    constexpr std::chrono::milliseconds completionTimeout { 30000 };
    constexpr unsigned mostSendings = 6;
    constexpr unsigned percentReads = 10;
    constexpr unsigned percentOwnKeys = 15;
    constexpr unsigned percentRepeated = 20;
    constexpr unsigned percentStreamed = 50;
    constexpr std::uint64_t tokensWanted = 16;

    bool drawPercent(Play& play, unsigned percent) { return play.random.below(100) < percent; }

    HttpRequest bookingRequest(const Play& play, const std::string& key, const std::string& body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/" + play.options.servicePool + "/bookings";
        request.headers.push_back({ std::string(keyHeader), key });
        request.body = body;
        return request;
    }

    std::string ticketOf(const std::optional<HttpResponse>& answer)
    {
        if (!answer || answer->status != 200)
            return {};
        boost::system::error_code problem;
        const auto body = json::parse(answer->body, problem);
        const auto* ticket = problem || !body.is_object() ? nullptr : body.as_object().if_contains("ticket");
        return ticket && ticket->is_string() ? json::value_to<std::string>(*ticket) : std::string {};
    }

    void keepAnswer(Play& play, BookingRecord& record, const HttpResponse& answer, std::optional<Outcome> outcome)
    {
        if (outcome == Outcome::NotRun) {
            ++record.notRun;
            return;
        }
        if (outcome != Outcome::Ran) {
            ++record.others;
            return;
        }
        ++record.ran;
        record.isSuccess = record.isSuccess || answer.status < 300;
        if (record.answer && *record.answer != answer.body)
            ++play.figures.differingRepeats;
        if (!record.answer)
            record.answer = answer.body;
    }

    /// Sends one booking under its key until it is settled, to any VM each time.
    asio::awaitable<void> bookOnce(Play& play, OutcomeCounts& counts, std::string key, Endpoint first)
    {
        auto& record = play.figures.bookings[key];
        record.body = "booking " + std::to_string(++play.bookingCounter);
        auto target = std::move(first);
        for (unsigned sending = 0; sending < mostSendings; ++sending) {
            const auto begin = Clock::now();
            auto request = bookingRequest(play, key, record.body);
            const auto answer = co_await send(play, target, std::move(request), bookingTimeout);
            play.figures.bookingTime.record(Clock::now() - begin);
            const auto outcome = countAnswer(play.figures, counts, answer);
            if (answer)
                keepAnswer(play, record, *answer, outcome);
            else
                ++record.others;
            const bool isSettled = outcome == Outcome::Ran;
            const bool isHopeless = answer && findHeader(answer->headers, settlingHeader) == "never";
            if ((isSettled || isHopeless) && !drawPercent(play, percentRepeated))
                break;
            if (!isSettled)
                co_await rest(play, retryTime(answer));
            target = play.anyVm();
        }
    }

    asio::awaitable<void> bookWithTicket(Play& play)
    {
        const auto home = play.anyVm();
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/tickets";
        const auto answer = co_await send(play, home, std::move(request), bookingTimeout);
        const auto ticket = ticketOf(answer);
        if (ticket.empty()) {
            ++play.figures.ticketsRefused;
            co_await rest(play, retryTime(answer));
            co_return;
        }
        ++play.figures.ticketsIssued;
        co_await bookOnce(play, play.figures.ticketBookings, ticket, home);
    }

    asio::awaitable<void> bookWithOwnKey(Play& play)
    {
        const auto key = "play-" + toHex(play.options.seed) + "-" + toHex(systemSeed());
        const auto target = play.anyVm();
        co_await bookOnce(play, play.figures.keyBookings, key, target);
    }

    asio::awaitable<void> readOnce(Play& play)
    {
        HttpRequest request;
        request.target = "/v1/services/" + play.options.servicePool + "/slots";
        const auto target = play.anyVm();
        const auto begin = Clock::now();
        const auto answer = co_await send(play, target, std::move(request), bookingTimeout);
        play.figures.bookingTime.record(Clock::now() - begin);
        const auto outcome = countAnswer(play.figures, play.figures.reads, answer);
        if (outcome != Outcome::Ran)
            co_await rest(play, retryTime(answer));
    }

    HttpRequest completionRequest(Play& play, bool isStreamed)
    {
        json::object body;
        body["model"] = play.options.enginePool;
        body["prompt"] = "prompt " + std::to_string(play.random.below(64)) + " asks for a slot";
        body["max_tokens"] = tokensWanted;
        body["stream"] = isStreamed;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.body = json::serialize(body);
        return request;
    }

    /// Whether the spans cover each token once and in order.
    bool coversTokens(const json::value& value, std::uint64_t tokens)
    {
        std::uint64_t next = 0;
        for (const auto& span : value.at("weight_versions").as_array()) {
            if (span.at("from").to_number<std::uint64_t>() != next)
                return false;
            next = span.at("to").to_number<std::uint64_t>();
        }
        return next == tokens;
    }

    bool isWholeCompletion(const std::string& body)
    {
        try {
            const auto value = json::parse(body);
            const auto tokens = value.at("choices").at(0).at("token_ids").as_array().size();
            return tokens == tokensWanted && coversTokens(value, tokens);
        } catch (const std::exception&) {
            return false;
        }
    }

    /// What a stream said in its last event; nothing if it ended quietly or tokens are missing.
    std::optional<Outcome> streamOutcome(const std::string& body)
    {
        SseReader reader;
        reader.feed(body);
        std::uint64_t tokens = 0;
        std::optional<Outcome> outcome;
        while (const auto data = reader.next()) {
            if (*data == "[DONE]")
                break;
            try {
                const auto event = json::parse(*data);
                if (const auto* choices = event.as_object().if_contains("choices"))
                    if (const auto* ids = choices->at(0).as_object().if_contains("token_ids"))
                        tokens += ids->as_array().size();
                if (const auto* said = event.as_object().if_contains("outcome"))
                    outcome = parseOutcome(said->as_string());
                if (outcome == Outcome::Ran && (tokens != tokensWanted || !coversTokens(event, tokens)))
                    return std::nullopt;
            } catch (const std::exception&) {
                return std::nullopt;
            }
        }
        return outcome;
    }

    asio::awaitable<void> completeOnce(Play& play)
    {
        const bool isStreamed = drawPercent(play, percentStreamed);
        auto request = completionRequest(play, isStreamed);
        const auto target = play.anyVm();
        const auto begin = Clock::now();
        const auto answer = co_await send(play, target, std::move(request), completionTimeout);
        play.figures.completionTime.record(Clock::now() - begin);
        auto& counts = isStreamed ? play.figures.streams : play.figures.completions;
        const auto outcome = countAnswer(play.figures, counts, answer);
        if (outcome != Outcome::Ran) {
            co_await rest(play, retryTime(answer));
            co_return;
        }
        if (!isStreamed && answer->status == 200 && !isWholeCompletion(answer->body))
            ++play.figures.brokenCompletions;
        if (isStreamed && answer->status == 200 && !streamOutcome(answer->body))
            ++play.figures.brokenCompletions;
    }

} // namespace

asio::awaitable<void> bookInLoop(Play& play)
{
    while (play.goesOn()) {
        if (drawPercent(play, percentReads))
            co_await readOnce(play);
        else if (drawPercent(play, percentOwnKeys))
            co_await bookWithOwnKey(play);
        else
            co_await bookWithTicket(play);
    }
}

asio::awaitable<void> completeInLoop(Play& play)
{
    while (play.goesOn())
        co_await completeOnce(play);
}

} // namespace topaztack::bench
