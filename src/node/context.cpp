#include <topaztack/node/context.hpp>

#include <topaztack/base/random.hpp>

namespace topaztack {

namespace {

    Result<std::unique_ptr<TlsContext>> loadTls(const VmSettings& settings)
    {
        if (settings.certificateFile.empty())
            return std::unique_ptr<TlsContext> {};
        return TlsContext::load({ settings.certificateFile, settings.privateKeyFile, settings.authorityFile });
    }

} // namespace

NodeContext::NodeContext(VmSettings settings, VmIdentity identity)
    : settings(std::move(settings))
    , identity(std::move(identity))
    , peerKey(readPeerKey(this->settings.peerKeyFile))
    , tls(loadTls(this->settings))
    , threads(this->settings.threads)
{
    const auto key = this->peerKey ? this->peerKey.value() : PeerKey {};
    for (std::size_t index = 0; index < this->threads.size(); ++index)
        this->clientsByThread.push_back(
            std::make_unique<ThreadClients>(this->threads.at(index), this->settings, key, this->peerTls()));
}

OperationId NodeContext::newOperation()
{
    const auto counter = this->operationCounter.fetch_add(1, std::memory_order_relaxed);
    return OperationId(
        this->identity.name.value() + "." + toHex(this->identity.incarnation.value()) + "." + std::to_string(counter));
}

RequestId NodeContext::newRequestId()
{
    const auto counter = this->requestCounter.fetch_add(1, std::memory_order_relaxed);
    return RequestId(this->identity.name.value() + "-" + std::to_string(counter));
}

} // namespace topaztack
