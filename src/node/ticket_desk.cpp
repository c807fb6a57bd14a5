#include <topaztack/node/ticket_desk.hpp>

#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;

TicketDesk::TicketDesk(NodeContext& context)
    : context(context)
{
}

void TicketDesk::addRoutes(HttpRouter& callers)
{
    callers.add("POST", "/v1/tickets", [this](HttpExchange& exchange) -> boost::asio::awaitable<void> {
        TicketId ticket { this->context.identity, 0 };
        {
            const std::lock_guard guard(this->lock);
            ticket.counter = ++this->issued;
        }
        auto response = jsonResponse(200, json::serialize(json::object { { "ticket", toText(ticket) } }));
        response.headers.push_back({ std::string(outcomeHeader), "not-run" });
        co_await exchange.respond(std::move(response));
    });
}

TicketDesk::Claim TicketDesk::claim(const TicketId& ticket, HttpResponse& answer)
{
    const std::lock_guard guard(this->lock);
    if (ticket.home != this->context.identity || ticket.counter == 0 || ticket.counter > this->issued)
        return Claim::Foreign;
    const auto [place, isNew] = this->entries.try_emplace(ticket.counter);
    if (isNew)
        return Claim::Dispatch;
    if (!place->second.isFinished)
        return Claim::InFlight;
    answer = place->second.answer;
    return Claim::Finished;
}

void TicketDesk::finish(const TicketId& ticket, const HttpResponse& answer)
{
    const std::lock_guard guard(this->lock);
    auto& entry = this->entries[ticket.counter];
    entry.isFinished = true;
    entry.answer = answer;
}

void TicketDesk::release(const TicketId& ticket)
{
    const std::lock_guard guard(this->lock);
    this->entries.erase(ticket.counter);
}

json::value TicketDesk::dump() const
{
    const std::lock_guard guard(this->lock);
    return json::object { { "issued", this->issued }, { "kept", this->entries.size() } };
}

} // namespace topaztack
