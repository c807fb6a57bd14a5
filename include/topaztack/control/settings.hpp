#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/ini.hpp>
#include <topaztack/base/log.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The settings file of one VM.

namespace topaztack {

/// @brief `[peer NAME]`: another VM, used as a membership seed.
struct PeerSettings {
    VmName name;
    DataCentre dataCentre;
    /// Address on which it receives calls from other VMs, TCP and UDP.
    Endpoint endpoint;
};

/// @brief `[gateway]`: limits and requirements of the platform for a gateway.
struct GatewaySettings {
    /// Time that the platform allows a process to stop.
    std::chrono::microseconds shutdownTime { 0 };
    /// Minimum time between the last order of one VM to an engine and the first order of another VM.
    std::chrono::microseconds orderSilence { 0 };
    /// Time after submission for which a job's results are kept.
    std::chrono::microseconds resultRetention { 0 };
    /// Maximum size of a row's value, as measured by the store.
    std::uint64_t rowBytes { 0 };
    /// Maximum size of an object in the store.
    std::uint64_t objectBytes { 0 };
    /// Fraction of each core that this process may use, and the number of cores.
    /// Whether the load of a server that started or recovered is raised only as fast as its answers allow.
    bool hasServerPace { false };
    double coreShare { 1 };
    std::uint64_t cores { 1 };

    /// @brief Processor time that this process may use, in cores.
    double processor() const { return this->coreShare * static_cast<double>(this->cores); }
};

/// @brief `[duties]`: calls to the platform that one VM at a time makes.
struct DutySettings {
    /// Whether the use of each workspace is reported.
    bool reportsUsage { false };
    /// Whether servers are ordered from the platform.
    bool ordersServers { false };
    Endpoint address;
    /// Calls per second that the platform takes from all VMs together.
    double callsPerSecond { 0 };
    /// Length of a window of a report of use, and the time after its end at which the report is due.
    std::chrono::microseconds window { 0 };
    std::chrono::microseconds reportDue { 0 };
    /// Fraction by which a count may be off.
    double tolerance { 0 };
    /// Minimum time between the calls of two VMs.
    std::chrono::microseconds silence { 0 };
    /// Time after a suspension of this VM in which it makes no call.
    std::chrono::microseconds thawTime { 0 };
};

/// @brief `[vm NAME]`, `[platform]`, `[gateway]`, `[duties]`, `[tls]` and `[peer NAME]` of one settings file.
struct VmSettings {
    VmName name;
    DataCentre dataCentre;
    Region region;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    std::uint64_t threads { 0 };
    /// Memory in bytes and descriptors that this process may use.
    std::uint64_t memory { 512ULL * 1024 * 1024 };
    std::uint64_t descriptors { 4096 };
    LogLevel logLevel { LogLevel::Info };
    /// File with the document to use until a newer one is known; empty for none.
    std::string documentFile;
    /// Operator token file; if empty, the operators' port requires no token.
    std::string operatorTokenFile;
    /// File with the key, shared by all VMs, that authenticates frames between them; empty for none.
    std::string peerKeyFile;
    Endpoint platform;
    std::chrono::microseconds platformTimeout { 0 };
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::vector<PeerSettings> peerList;
    /// Whether there is a [gateway] section: configuration, backend servers and jobs are kept in the platform's store.
    bool isGateway { false };
    GatewaySettings gateway;
    DutySettings duties;
};

/// @brief Parses and validates a VM's settings.
/// @param problems every problem found is appended; the settings may be used only if there was none.
VmSettings parseVmSettings(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems);

/// @name Rules for parsing the sections, also used for docs/SETTINGS.md.
/// @{
const std::vector<KeyRule<VmSettings>>& vmRules();
const std::vector<KeyRule<VmSettings>>& platformRules();
const std::vector<KeyRule<VmSettings>>& tlsRules();
const std::vector<KeyRule<PeerSettings>>& peerRules();
const std::vector<KeyRule<GatewaySettings>>& gatewayRules();
const std::vector<KeyRule<DutySettings>>& dutyRules();
/// @}

} // namespace topaztack
