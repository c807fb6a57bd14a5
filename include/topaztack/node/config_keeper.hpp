#pragma once

#include <topaztack/control/config_sync.hpp>
#include <topaztack/node/context.hpp>
#include <topaztack/node/forwarder.hpp>

#include <boost/json/value.hpp>

#include <functional>

/// @file
/// Keeps the newest accepted document in force on this VM: from the platform, from other VMs, or, before either gave
/// one, from the settings. All of it runs on thread 0.

namespace topaztack {

class ConfigKeeper {
public:
    ConfigKeeper(NodeContext& context, PeerCaller callPeer);

    /// @brief Called on thread 0 whenever a document goes into force; set before start().
    void onInForce(std::function<void(ConfigVersion)> notify) { this->notify = std::move(notify); }

    void start();

    /// @brief Another VM has this version: fetched from it if newer. On thread 0.
    void hear(ConfigVersion version, const Endpoint& from);

    /// @brief Puts an accepted document into force if it is newer; may be called on any thread.
    boost::asio::awaitable<void> put(ConfigVersion version, std::string text);

    /// @brief Newest version that this VM knows to be accepted, in force here or not. Thread-safe.
    ConfigVersion newestHeard() const { return ConfigVersion(this->heard.load()); }

    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<bool> pollOnce();
    boost::asio::awaitable<bool> fetchDocument(ConfigVersion version);
    boost::asio::awaitable<bool> fetchFromPeer(Endpoint peer);
    boost::asio::awaitable<void> fetchHeard(Endpoint peer);
    boost::asio::awaitable<void> startUp();
    boost::asio::awaitable<void> takeAccepted(ConfigVersion version, std::string text);
    bool isPoller() const;
    std::string readStaticDocument() const;
    void noteHeard(ConfigVersion version);
    void take(ConfigVersion version, std::string_view text, DocumentSource source);

    NodeContext& context;
    PeerCaller callPeer;
    std::function<void(ConfigVersion)> notify;
    Random random;
    ConfigSyncState spread;
    ConfigVersion refusedVersion;
    bool isFetching { false };
    /// Copies for other threads.
    std::atomic<std::uint64_t> heard { 0 };
    std::atomic<DocumentSource> source { DocumentSource::None };
    Gauge& versionInForce;
    Counter& reads;
    Counter& fetches;
};

} // namespace topaztack
