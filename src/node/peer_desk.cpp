#include <topaztack/node/peer_desk.hpp>

namespace topaztack {

namespace asio = boost::asio;

asio::awaitable<PeerAnswer> PeerDesk::answer(PeerCall call)
{
    if (auto* forwardedCall = std::get_if<ForwardedCall>(&call); forwardedCall && this->forwarded)
        co_return co_await this->forwarded(std::move(*forwardedCall));
    if (const auto* fetch = std::get_if<DocumentFetch>(&call))
        co_return this->answerDocument(*fetch);
    if (std::holds_alternative<StatusFetch>(call))
        co_return this->answerStatus();
    if (std::holds_alternative<MembersFetch>(call))
        co_return this->answerMembers();
    if (auto* partCall = std::get_if<PartCall>(&call)) {
        const auto place = this->parts.find(partCall->part);
        if (place != this->parts.end())
            co_return co_await place->second(std::move(*partCall));
    }
    co_return makeError(ErrorKind::BadFrame, "this VM takes no such call");
}

PeerAnswer PeerDesk::answerDocument(const DocumentFetch& fetch) const
{
    const auto accepted = this->context.document();
    if (!accepted || accepted->version <= fetch.newerThan)
        return DocumentAnswer {};
    return DocumentAnswer { accepted->version, accepted->document.text };
}

PeerAnswer PeerDesk::answerStatus() const
{
    const auto accepted = this->context.document();
    return StatusAnswer { this->context.identity, this->context.settings.dataCentre,
        accepted ? accepted->version : ConfigVersion {} };
}

PeerAnswer PeerDesk::answerMembers() const
{
    const auto view = this->context.members.load();
    return view ? MembersAnswer { view->members } : MembersAnswer {};
}

} // namespace topaztack
