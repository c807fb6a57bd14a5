#include "server_table.hpp"

#include <topaztack/base/log.hpp>
#include <topaztack/policy/server_silence.hpp>

/// @file
/// Servers that stopped sending.

namespace topaztack {

void ServerTable::recordActivity(const BackendName& name)
{
    auto& usage = this->usageByServer[name];
    usage.heardAt = Clock::now();
    usage.answeredAt = usage.heardAt;
    const auto* server = usage.isSilent ? this->find(name) : nullptr;
    usage.isSilent = false;
    if (server)
        this->beginPace(*server, "silence", true);
}

void ServerTable::markSilent(const ServerRecord& server)
{
    auto& usage = this->usageByServer[server.name];
    if (usage.isSilent)
        return;
    usage.isSilent = true;
    logEvent(LogLevel::Info, "server-silent",
        { { "server", server.name.value() }, { "pool", server.pool.value() },
            { "data_centre", server.dataCentre.value() }, { "outstanding", std::to_string(usage.outstanding) },
            { "silent_ms", std::to_string(toMilliseconds(Clock::now() - usage.heardAt).count()) } });
}

bool ServerTable::wasHeardSince(const BackendName& name, TimePoint time) const
{
    const auto usage = this->usageByServer.find(name);
    return usage != this->usageByServer.end() && usage->second.heardAt > time;
}

std::set<BackendName> ServerTable::takeSilentServers()
{
    const auto now = Clock::now();
    std::set<BackendName> silent;
    for (const auto& [name, usage] : this->usageByServer) {
        const auto interval
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(usage.intervalSeconds));
        const auto* server = this->find(name);
        // Only generations are streams; a plain request sends nothing before its answer.
        const bool isEngine = server && !server->models.empty();
        if (!isEngine || usage.isSilent || !isSilent({ usage.outstanding, usage.heardAt, interval }, now))
            continue;
        silent.insert(name);
        this->markSilent(*server);
    }
    return silent;
}

void ServerTable::forgiveSilence()
{
    const auto now = Clock::now();
    for (auto& [name, usage] : this->usageByServer)
        usage.heardAt = now;
}

} // namespace topaztack
