#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/wire/peer_link.hpp>

#include <functional>
#include <map>
#include <string>

/// @file
/// Answers other VMs' calls, or hands them to the part that they are for.

namespace topaztack {

class PeerDesk {
public:
    using ForwardedHandler = std::function<boost::asio::awaitable<PeerAnswer>(ForwardedCall)>;
    using PartHandler = std::function<boost::asio::awaitable<PeerAnswer>(PartCall)>;

    explicit PeerDesk(NodeContext& context)
        : context(context)
    {
    }

    /// @brief Sets who takes forwarded calls; before the server starts.
    void onForwarded(ForwardedHandler handler) { this->forwarded = std::move(handler); }

    /// @brief Sets who takes a part's own messages; before the server starts.
    void onPart(std::string part, PartHandler handler) { this->parts[std::move(part)] = std::move(handler); }

    /// @brief Answers a call; what nobody takes is answered by an Error of kind BadFrame.
    boost::asio::awaitable<PeerAnswer> answer(PeerCall call);

private:
    PeerAnswer answerDocument(const DocumentFetch& fetch) const;
    PeerAnswer answerStatus() const;
    PeerAnswer answerMembers() const;

    NodeContext& context;
    ForwardedHandler forwarded;
    std::map<std::string, PartHandler> parts;
};

} // namespace topaztack
