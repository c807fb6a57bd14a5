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

/// @brief `[peer NAME]`: another VM, a seed of membership.
struct PeerSettings {
    VmName name;
    DataCentre dataCentre;
    /// Where it takes calls from other VMs, TCP and UDP.
    Endpoint endpoint;
};

/// @brief `[gateway]`: what the platform allows and asks of a gateway.
struct GatewaySettings {
    /// Time that the platform gives a process to stop.
    std::chrono::microseconds shutdownTime { 0 };
    /// Time between the last order of one VM to an engine and the first of another.
    std::chrono::microseconds orderSilence { 0 };
    /// Time after its submission for which a job's results are kept.
    std::chrono::microseconds resultRetention { 0 };
    /// The longest value of a row, as the store counts it.
    std::uint64_t rowBytes { 0 };
    /// The longest object of the store.
    std::uint64_t objectBytes { 0 };
    /// Part of each core that this process may use, and the cores.
    double coreShare { 1 };
    std::uint64_t cores { 1 };

    /// @brief Cores' worth of processor time that this process may use.
    double processor() const { return this->coreShare * static_cast<double>(this->cores); }
};

/// @brief `[vm NAME]`, `[platform]`, `[gateway]`, `[tls]` and `[peer NAME]` of one settings file.
struct VmSettings {
    VmName name;
    DataCentre dataCentre;
    Region region;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    std::uint64_t threads { 0 };
    LogLevel logLevel { LogLevel::Info };
    /// Document used until a newer one is known; empty for none.
    std::string documentFile;
    /// Operator token file; empty lets every caller on the operators' port in.
    std::string operatorTokenFile;
    /// Key shared by all VMs that authenticates their frames; empty for none.
    std::string peerKeyFile;
    Endpoint platform;
    std::chrono::microseconds platformTimeout { 0 };
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
    std::vector<PeerSettings> peerList;
    /// Whether there is a [gateway] section: configuration, backend servers and jobs stand in the platform's store.
    bool isGateway { false };
    GatewaySettings gateway;
};

/// @brief Reads and validates a VM's settings.
/// @param problems everything found wrong is appended; the settings may be used only if nothing was.
VmSettings parseVmSettings(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems);

/// @name The rules by which sections are read, for docs/SETTINGS.md.
/// @{
const std::vector<KeyRule<VmSettings>>& vmRules();
const std::vector<KeyRule<VmSettings>>& platformRules();
const std::vector<KeyRule<VmSettings>>& tlsRules();
const std::vector<KeyRule<PeerSettings>>& peerRules();
const std::vector<KeyRule<GatewaySettings>>& gatewayRules();
/// @}

} // namespace topaztack
