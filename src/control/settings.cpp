#include <topaztack/control/settings.hpp>

#include <topaztack/base/machine.hpp>
#include <topaztack/detail/read_id.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace topaztack {

using namespace std::chrono_literals;
using detail::readId;

namespace {

    constexpr std::uint64_t minMemory = 32ULL * 1024 * 1024;
    constexpr std::uint64_t maxMemory = 1ULL << 40;
    constexpr std::uint64_t minDescriptors = 64;
    constexpr std::uint64_t largestDescriptors = 1'000'000;

    std::string readFileName(std::string_view text, std::string& value)
    {
        value = text == "none" ? std::string {} : std::string(text);
        return {};
    }

    std::string readMemory(std::string_view text, std::uint64_t& value)
    {
        if (text != "auto")
            return readSize(text, minMemory, maxMemory, value);
        value = std::clamp(machineMemory(), minMemory, maxMemory);
        return {};
    }

    std::string readDescriptors(std::string_view text, std::uint64_t& value)
    {
        if (text != "auto")
            return readWhole(text, minDescriptors, largestDescriptors, value);
        value = std::clamp(maxDescriptors(), minDescriptors, largestDescriptors);
        return {};
    }

    std::string readLogLevel(std::string_view text, LogLevel& value)
    {
        static constexpr std::array<std::pair<std::string_view, LogLevel>, 4> levels { {
            { "debug", LogLevel::Debug },
            { "info", LogLevel::Info },
            { "warning", LogLevel::Warning },
            { "error", LogLevel::Error },
        } };
        for (const auto& [name, level] : levels) {
            if (text == name) {
                value = level;
                return {};
            }
        }
        return "`" + std::string(text) + "` is not a log level";
    }

} // namespace

const std::vector<KeyRule<VmSettings>>& vmRules()
{
    static const std::vector<KeyRule<VmSettings>> rules {
        { "data_centre", requiredKey, "data centre of this VM",
            [](VmSettings& vm, std::string_view text) { return readId(text, vm.dataCentre); } },
        { "region", "default", "region of this VM",
            [](VmSettings& vm, std::string_view text) { return readId(text, vm.region); } },
        { "callers", requiredKey, "IP:PORT for callers",
            [](VmSettings& vm, std::string_view text) { return readEndpoint(text, vm.callers); } },
        { "operators", requiredKey, "IP:PORT for operators",
            [](VmSettings& vm, std::string_view text) { return readEndpoint(text, vm.operators); } },
        { "peers", requiredKey, "IP:PORT for other VMs, TCP and UDP",
            [](VmSettings& vm, std::string_view text) { return readEndpoint(text, vm.peers); } },
        { "threads", "2", "threads that serve callers, 1..64",
            [](VmSettings& vm, std::string_view text) { return readWhole(text, 1, 64, vm.threads); } },
        { "memory", "auto",
            "memory that this process may use, 32MiB..1048576MiB, or auto for that of the machine; callers' requests "
            "and answers take up to 7/16 of it, the kernel's buffers of their connections 3/16",
            [](VmSettings& vm, std::string_view text) { return readMemory(text, vm.memory); } },
        { "descriptors", "auto",
            "descriptors that this process may have open, 64..1000000, or auto for the limit of the system; callers' "
            "connections take up to 6/16 of them",
            [](VmSettings& vm, std::string_view text) { return readDescriptors(text, vm.descriptors); } },
        { "log_level", "info", "minimum level of log lines: debug, info, warning, error",
            [](VmSettings& vm, std::string_view text) { return readLogLevel(text, vm.logLevel); } },
        { "document", "none", "document to use until a newer one is known: a file, or none",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.documentFile); } },
        { "operator_token", "none",
            "file with the operators' tokens, or none to require no token on the operators' port",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.operatorTokenFile); } },
        { "peer_key", "none", "file with the key that authenticates frames between VMs, or none",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.peerKeyFile); } },
    };
    return rules;
}

const std::vector<KeyRule<VmSettings>>& platformRules()
{
    static const std::vector<KeyRule<VmSettings>> rules {
        { "address", requiredKey, "IP:PORT of the platform's service",
            [](VmSettings& vm, std::string_view text) { return readEndpoint(text, vm.platform); } },
        { "timeout", "2s", "time allowed for one call, 10ms..1min",
            [](VmSettings& vm, std::string_view text) { return readDuration(text, 10ms, 1min, vm.platformTimeout); } },
    };
    return rules;
}

const std::vector<KeyRule<VmSettings>>& tlsRules()
{
    static const std::vector<KeyRule<VmSettings>> rules {
        { "certificate", "none", "PEM file with this VM's certificate chain, or none",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.certificateFile); } },
        { "key", "none", "PEM file with the certificate's private key, or none",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.privateKeyFile); } },
        { "authority", "none", "PEM file with the authority that signs VMs' certificates, or none",
            [](VmSettings& vm, std::string_view text) { return readFileName(text, vm.authorityFile); } },
    };
    return rules;
}

const std::vector<KeyRule<PeerSettings>>& peerRules()
{
    static const std::vector<KeyRule<PeerSettings>> rules {
        { "data_centre", requiredKey, "data centre of that VM",
            [](PeerSettings& peer, std::string_view text) { return readId(text, peer.dataCentre); } },
        { "address", requiredKey, "IP:PORT on which it receives calls from other VMs",
            [](PeerSettings& peer, std::string_view text) { return readEndpoint(text, peer.endpoint); } },
    };
    return rules;
}

const std::vector<KeyRule<GatewaySettings>>& gatewayRules()
{
    static const std::vector<KeyRule<GatewaySettings>> rules {
        { "shutdown_time", "8s", "time that the platform allows this process to stop, 3s..1h",
            [](GatewaySettings& gateway, std::string_view text) {
                return readDuration(text, 3s, 1h, gateway.shutdownTime);
            } },
        { "order_silence", "3s", "minimum time between orders of two VMs to one engine, 0s..1min",
            [](GatewaySettings& gateway, std::string_view text) {
                return readDuration(text, 0s, 1min, gateway.orderSilence);
            } },
        { "result_retention", "120s", "time after submission for which a job's results are kept, 1s..24h",
            [](GatewaySettings& gateway, std::string_view text) {
                return readDuration(text, 1s, 24h, gateway.resultRetention);
            } },
        { "row_size", "64KiB", "maximum size of a row's value in the store, 1KiB..64MiB",
            [](GatewaySettings& gateway, std::string_view text) {
                return readSize(text, 1024, 64UL * 1024 * 1024, gateway.rowBytes);
            } },
        { "object_size", "8MiB", "maximum size of an object in the store, 1KiB..1024MiB",
            [](GatewaySettings& gateway, std::string_view text) {
                return readSize(text, 1024, 1024UL * 1024 * 1024, gateway.objectBytes);
            } },
        { "server_pace", "no", "whether the load of servers that started or recovered follows their answers, yes or no",
            [](GatewaySettings& gateway, std::string_view text) { return readBool(text, gateway.hasServerPace); } },
        { "core_share", "1", "fraction of each core that this process may use, 0.001..64",
            [](GatewaySettings& gateway, std::string_view text) {
                return readFraction(text, 0.001, 64, gateway.coreShare);
            } },
        { "cores", "1", "number of cores that this process may use, 1..1024",
            [](GatewaySettings& gateway, std::string_view text) { return readWhole(text, 1, 1024, gateway.cores); } },
    };
    return rules;
}

const std::vector<KeyRule<DutySettings>>& dutyRules()
{
    static const std::vector<KeyRule<DutySettings>> rules {
        { "address", requiredKey, "IP:PORT of the platform's API",
            [](DutySettings& duties, std::string_view text) { return readEndpoint(text, duties.address); } },
        { "usage", "no", "whether the use of each workspace is reported, yes or no",
            [](DutySettings& duties, std::string_view text) { return readBool(text, duties.reportsUsage); } },
        { "autoscale", "no", "whether servers are ordered from the platform, yes or no",
            [](DutySettings& duties, std::string_view text) { return readBool(text, duties.ordersServers); } },
        { "rate", "50", "calls per second that the platform takes from all VMs together, 0.01..100000",
            [](DutySettings& duties, std::string_view text) {
                return readFraction(text, 0.01, 100000, duties.callsPerSecond);
            } },
        { "window", "5s", "length of a window of a report of use, 1s..1h",
            [](DutySettings& duties, std::string_view text) { return readDuration(text, 1s, 1h, duties.window); } },
        { "report_due", "10s", "time after the end of a window at which its report is due, 1s..1h",
            [](DutySettings& duties, std::string_view text) { return readDuration(text, 1s, 1h, duties.reportDue); } },
        { "tolerance", "0.05", "fraction by which a count of a report may be off, 0..1",
            [](DutySettings& duties, std::string_view text) { return readFraction(text, 0, 1, duties.tolerance); } },
        { "silence", "3s", "minimum time between the calls of two VMs, 0s..1min",
            [](DutySettings& duties, std::string_view text) { return readDuration(text, 0s, 1min, duties.silence); } },
        { "thaw_time", "300ms", "time after a suspension in which a VM makes no call, 0s..1min",
            [](DutySettings& duties, std::string_view text) { return readDuration(text, 0s, 1min, duties.thawTime); } },
    };
    return rules;
}

VmSettings parseVmSettings(std::string_view text, std::string_view fileName, std::vector<IniProblem>& problems)
{
    const auto file = parseIni(text, fileName, problems);
    VmSettings settings;
    bool hasVm = false;
    bool hasPlatform = false;
    IniSection tls { "tls", "", 1, {} };
    for (const auto& section : file.sections) {
        if (section.kind == "vm" && !section.name.empty() && !hasVm) {
            settings.name = VmName(section.name);
            bindSection(section, fileName, vmRules(), settings, problems);
            hasVm = true;
        } else if (section.kind == "platform" && section.name.empty()) {
            bindSection(section, fileName, platformRules(), settings, problems);
            hasPlatform = true;
        } else if (section.kind == "gateway" && section.name.empty() && !settings.isGateway) {
            bindSection(section, fileName, gatewayRules(), settings.gateway, problems);
            settings.isGateway = true;
        } else if (section.kind == "duties" && section.name.empty()) {
            bindSection(section, fileName, dutyRules(), settings.duties, problems);
        } else if (section.kind == "tls" && section.name.empty()) {
            tls = section;
        } else if (section.kind == "peer" && !section.name.empty()) {
            PeerSettings peer;
            peer.name = VmName(section.name);
            bindSection(section, fileName, peerRules(), peer, problems);
            settings.peerList.push_back(std::move(peer));
        } else {
            problems.push_back({ std::string(fileName), section.line, section.kind, "unknown section",
                "use one [vm NAME], [platform], [gateway], [duties], [tls] and [peer NAME]" });
        }
    }
    bindSection(tls, fileName, tlsRules(), settings, problems);
    if (!hasVm)
        problems.push_back({ std::string(fileName), 1, "vm", "no [vm NAME] section", "add one" });
    if (!hasPlatform)
        problems.push_back(
            { std::string(fileName), 1, "platform", "no [platform] section", "add one with address = IP:PORT" });
    return settings;
}

} // namespace topaztack
