#include "gateway/stream_client.hpp"
#include "standins/platform_api.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace topaztack;
using namespace topaztack::test;
using namespace std::chrono_literals;

namespace {

using Counts = std::map<std::string, std::uint64_t>;

constexpr auto windowLength = 1s;
constexpr auto silence = 300ms;

std::uint64_t currentWindow() { return static_cast<std::uint64_t>(unixTime() / windowLength); }

/// Counts as another VM sends them.
std::string countsOf(const std::string& vm, std::uint64_t window, const std::string& counts)
{
    return R"({"vm":")" + vm + R"(","incarnation":1,"through":)" + std::to_string(unixTime().count())
        + R"(,"windows":{")" + std::to_string(window) + R"(":)" + counts + "}}";
}

/// A gateway as a process of its own, which can be stopped and resumed.
class GatewayProcess {
public:
    GatewayProcess(const std::string& name, const Endpoint& store, const Endpoint& platform)
        : operators(freeEndpoint())
        , settingsFile(std::filesystem::temp_directory_path() / (name + "-" + std::to_string(getpid()) + ".ini"))
    {
        std::ofstream(this->settingsFile)
            << "[vm " << name << "]\ndata_centre = z2\nregion = r\ncallers = " << toText(freeEndpoint())
            << "\noperators = " << toText(this->operators) << "\npeers = " << toText(freeEndpoint())
            << "\nthreads = 1\n\n[platform]\naddress = " << toText(store) << "\ntimeout = 1s\n\n[gateway]\n"
            << "shutdown_time = 8s\norder_silence = 0ms\nresult_retention = 2min\nrow_size = 64KiB\n"
            << "object_size = 1KiB\n\n[duties]\naddress = " << toText(platform)
            << "\nusage = yes\nrate = 50\nwindow = 1s\nreport_due = 10s\ntolerance = 0.05\nsilence = 300ms\n"
            << "thaw_time = 300ms\n";
        const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "topaztackd";
        std::string path = program.string();
        std::string option = "--settings";
        std::string file = this->settingsFile.string();
        std::vector<char*> arguments { path.data(), option.data(), file.data(), nullptr };
        LONGS_EQUAL(0, posix_spawn(&this->process, path.c_str(), nullptr, nullptr, arguments.data(), environ));
    }

    ~GatewayProcess()
    {
        this->signal(SIGKILL);
        waitpid(this->process, nullptr, 0);
        std::filesystem::remove(this->settingsFile);
    }

    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    void signal(int number) const { kill(this->process, number); }

    const Endpoint operators;

private:
    const std::filesystem::path settingsFile;
    pid_t process { 0 };
};

struct UsageEnvironment : TestEnvironment {
    UsageEnvironment()
    {
        this->adjustSettings = [this](VmSettings& settings) {
            settings.duties.reportsUsage = true;
            settings.duties.address = this->platform.endpoint();
            settings.duties.callsPerSecond = 50;
            settings.duties.window = windowLength;
            settings.duties.reportDue = 10s;
            settings.duties.tolerance = 0.05;
            settings.duties.silence = silence;
            settings.duties.thawTime = 300ms;
        };
    }

    ~UsageEnvironment()
    {
        this->gateways.clear();
        this->threads.stop();
    }

    boost::json::value duties(const RunningGateway& gateway, const std::string& part)
    {
        return this->state(gateway, "duties").at(part);
    }

    bool holdsLease(const RunningGateway& gateway) { return this->duties(gateway, "lease").at("held").as_bool(); }

    /// Waits until all gateways know the time of day and each other, and one of them holds the lease.
    void awaitHolder()
    {
        CHECK_TRUE(waitFor([&] {
            bool isHeld = false;
            for (const auto& gateway : this->gateways) {
                if (this->duties(*gateway, "counts").at("true_time_ms").as_int64() == 0)
                    return false;
                if (this->state(*gateway, "peers").as_object().size() + 1 != this->gateways.size())
                    return false;
                isHeld = isHeld || this->holdsLease(*gateway);
            }
            return isHeld;
        }));
    }

    std::size_t holder()
    {
        std::size_t index = 0;
        while (!this->holdsLease(*this->gateways.at(index)))
            ++index;
        return index;
    }

    void sendCounts(
        const RunningGateway& gateway, const std::string& vm, std::uint64_t window, const std::string& counts)
    {
        LONGS_EQUAL(200, this->call(gateway.peers, "POST", "/usage-counts", {}, countsOf(vm, window, counts)).status);
    }

    bool isReported(std::uint64_t window, std::chrono::milliseconds timeout = 15s)
    {
        return waitFor([&] { return this->platform.report(window).has_value(); }, timeout);
    }

    void checkReport(std::uint64_t window, const Counts& counts)
    {
        const auto report = this->platform.report(window);
        CHECK_TRUE(report.has_value());
        CHECK_TRUE(*report == counts);
    }

    /// Waits for the reports from a window on until now, and adds them up.
    Counts sumSince(std::uint64_t first)
    {
        const auto last = currentWindow();
        Counts sum;
        for (auto window = first; window <= last; ++window) {
            CHECK_TRUE(this->isReported(window));
            const auto report = this->platform.report(window).value_or(Counts {});
            for (const auto& [workspace, count] : report)
                sum[workspace] += count;
        }
        return sum;
    }

    HttpResponse bookAs(
        const RunningGateway& gateway, const std::string& key, const std::string& id, const std::string& path = "/b/1")
    {
        return this->call(gateway.callers, "POST", path,
            { { "Topaztack-Request-Id", id }, { "Topaztack-Deadline-Ms", "2000" },
                { "Authorization", "Bearer " + key } },
            "nine o clock");
    }

    /// Starts VMs for callers of two workspaces, and waits for the first window that they cover.
    std::uint64_t startWithWorkspaces(int vms)
    {
        this->store.put("op", "", "config", configurationWithWorkspaces(2));
        for (int vm = 1; vm <= vms; ++vm)
            this->startGateway("vm-" + std::to_string(vm), static_cast<std::uint64_t>(vm));
        this->awaitHolder();
        const auto first = currentWindow() + 1;
        CHECK_TRUE(waitFor([&] { return currentWindow() == first; }));
        return first;
    }

    void checkNoViolation()
    {
        for (const auto& violation : this->platform.violations())
            FAIL(violation.c_str());
    }

    PlatformApiStandin platform { this->threads, silence };
};

} // namespace

TEST_GROUP(Usage) { std::unique_ptr<UsageEnvironment> env = std::make_unique<UsageEnvironment>(); };

// The counts of VMs that have ended are at those that keep them, some of them at both.
TEST(Usage, EachWindowIsReportedOnceWithTheCountsThatAllVmsKeep)
{
    auto& one = this->env->startGateway("vm-1", 1);
    auto& two = this->env->startGateway("vm-2", 2);
    this->env->awaitHolder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(one, "vm-8", window, R"({"a":3})");
    this->env->sendCounts(one, "vm-8", window, R"({"a":5,"b":1})");
    this->env->sendCounts(two, "vm-8", window, R"({"a":4,"b":1})");
    this->env->sendCounts(two, "vm-9", window, R"({"a":7})");
    CHECK_TRUE(this->env->isReported(window + 2));
    this->env->checkReport(window, { { "a", 12 }, { "b", 1 } });
    this->env->checkReport(window + 1, {});
    this->env->checkReport(window + 2, {});
    LONGS_EQUAL(this->env->platform.reports(), this->env->platform.calls().size());
    this->env->checkNoViolation();
}

TEST(Usage, WindowsThatBeganBeforeTheFirstVmAreNotReported)
{
    const auto before = currentWindow();
    this->env->startGateway();
    this->env->awaitHolder();
    CHECK_TRUE(this->env->isReported(before + 2));
    CHECK_FALSE(this->env->platform.report(before).has_value());
    CHECK_FALSE(this->env->platform.report(before - 1).has_value());
}

// A kill: the rest of the VMs see no release of the lease.
TEST(Usage, AnotherVmReportsAfterTheHolderWasKilled)
{
    this->env->startGateway("vm-1", 1);
    this->env->startGateway("vm-2", 2);
    this->env->startGateway("vm-3", 3);
    this->env->awaitHolder();
    const auto killed = this->env->holder();
    auto& other = *this->env->gateways.at((killed + 1) % 3);
    const auto window = currentWindow() + 1;
    this->env->sendCounts(other, "vm-9", window, R"({"a":7})");
    std::this_thread::sleep_for(1500ms);
    this->env->gateways.erase(this->env->gateways.begin() + static_cast<std::ptrdiff_t>(killed));
    CHECK_TRUE(this->env->isReported(window + 6, 25s));
    this->env->checkReport(window, { { "a", 7 } });
    for (std::uint64_t later = window; later <= window + 6; ++later)
        CHECK_TRUE(this->env->platform.report(later).has_value());
    this->env->checkNoViolation();
}

// A process that is stopped resumes with the lease as it remembers it, and with reports to send.
TEST(Usage, AHolderThatWasStoppedAndResumedSendsNothingUnderItsOldLease)
{
    const GatewayProcess stopped("vm-0", this->env->store.endpoint(), this->env->platform.endpoint());
    CHECK_TRUE(waitFor([&] { return this->env->platform.reports() > 0; }, 20s));
    LONGS_EQUAL(1, this->env->platform.calls().back().fencingNumber);
    this->env->startGateway("vm-1", 1);
    std::this_thread::sleep_for(1500ms);
    const auto window = currentWindow();
    stopped.signal(SIGSTOP);
    std::this_thread::sleep_for(4s);
    stopped.signal(SIGCONT);
    for (auto each = window; each <= window + 4; ++each)
        CHECK_TRUE(this->env->isReported(each));
    const auto last = this->env->platform.calls().back();
    STRCMP_EQUAL("vm-1", last.holder.c_str());
    LONGS_EQUAL(2, last.fencingNumber);
    this->env->checkNoViolation();
}

TEST(Usage, AnotherVmReportsAfterThePlannedStopOfTheHolder)
{
    this->env->startGateway("vm-1", 1);
    this->env->startGateway("vm-2", 2);
    this->env->awaitHolder();
    const auto stopped = this->env->holder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(*this->env->gateways.at(1 - stopped), "vm-9", window, R"({"a":7})");
    this->env->gateways.at(stopped)->gateway->shutDown();
    CHECK_TRUE(this->env->isReported(window + 3, 20s));
    this->env->checkReport(window, { { "a", 7 } });
    this->env->checkNoViolation();
}

TEST(Usage, ReportsWaitForAPlatformThatIsDownLimitedOrSlow)
{
    auto& gateway = this->env->startGateway();
    this->env->awaitHolder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":7})");
    this->env->platform.faults.isDown = true;
    std::this_thread::sleep_for(7s);
    this->env->platform.faults.isDown = false;
    this->env->platform.faults.isLimited = true;
    std::this_thread::sleep_for(1s);
    const auto attempts = this->env->platform.attempts();
    CHECK_TRUE(attempts >= 2);
    CHECK_TRUE(attempts < 20);
    this->env->platform.faults.isLimited = false;
    CHECK_TRUE(this->env->isReported(window, 3s));
    this->env->checkReport(window, { { "a", 7 } });
    this->env->platform.faults.answerDelay = 300ms;
    CHECK_TRUE(this->env->isReported(window + 6));
    this->env->checkNoViolation();
}

// The counts of a VM may arrive while a report whose answer was lost is repeated.
TEST(Usage, AReportWhoseAnswerWasLostIsRepeatedUnchanged)
{
    auto& gateway = this->env->startGateway();
    this->env->awaitHolder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":7})");
    this->env->platform.faults.answersToLose = 3;
    CHECK_TRUE(this->env->isReported(window));
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":9})");
    CHECK_TRUE(this->env->isReported(window + 2));
    this->env->checkReport(window, { { "a", 7 } });
    CHECK_TRUE(this->env->platform.calls().size() > this->env->platform.reports());
    this->env->checkNoViolation();
}

TEST(Usage, NothingIsSentWhileTheStoreIsDown)
{
    auto& gateway = this->env->startGateway();
    this->env->awaitHolder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":7})");
    this->env->store.faults.isDown = true;
    std::this_thread::sleep_for(1s);
    const auto attempts = this->env->platform.attempts();
    std::this_thread::sleep_for(5s);
    LONGS_EQUAL(attempts, this->env->platform.attempts());
    this->env->store.faults.isDown = false;
    CHECK_TRUE(this->env->isReported(window, 5s));
    this->env->checkReport(window, { { "a", 7 } });
    this->env->checkNoViolation();
}

// A write whose answer is lost has taken effect; the report that was written counts.
TEST(Usage, AReportIsFixedOnceThoughAnswersOfTheStoreAreLost)
{
    auto& gateway = this->env->startGateway();
    this->env->awaitHolder();
    const auto window = currentWindow() + 1;
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":7})");
    this->env->store.faults.answersToLose = 6;
    CHECK_TRUE(this->env->isReported(window + 2));
    this->env->checkReport(window, { { "a", 7 } });
    this->env->checkNoViolation();
}

TEST(Usage, RequestsThatServersBeganToRunAreCountedByWorkspace)
{
    const auto first = this->env->startWithWorkspaces(2);
    auto& one = *this->env->gateways.at(0);
    auto& two = *this->env->gateways.at(1);
    for (int request = 0; request < 5; ++request) {
        LONGS_EQUAL(200, this->env->bookAs(one, "secret-1a", "one-" + std::to_string(request)).status);
        LONGS_EQUAL(200, this->env->bookAs(two, "secret-1b", "two-" + std::to_string(request)).status);
    }
    LONGS_EQUAL(200, this->env->bookAs(two, "secret-2", "three").status);
    // Not of a workspace, or not admitted.
    LONGS_EQUAL(200, this->env->call(one.callers, "POST", "/p/1", { { "Topaztack-Request-Id", "open" } }).status);
    LONGS_EQUAL(401, this->env->bookAs(one, "wrong", "four").status);
    // The server's own failure counts, a refusal as not run doesn't.
    this->env->booking.faults.plainStatus = 500;
    LONGS_EQUAL(500, this->env->bookAs(one, "secret-2", "five", "/u/1").status);
    this->env->booking.faults.plainStatus = 200;
    this->env->booking.faults.isFull = true;
    LONGS_EQUAL(503, this->env->bookAs(one, "secret-2", "six").status);
    this->env->booking.faults.isFull = false;
    // A request that ran at two servers counts once.
    auto& second = this->env->addWorker("i-app-2");
    this->env->registerServer(second, "app");
    std::this_thread::sleep_for(600ms);
    this->env->booking.faults.answersToLose = 1;
    second.faults.answersToLose = 1;
    this->env->bookAs(one, "secret-2", "seven");
    const auto sum = this->env->sumSince(first);
    CHECK_TRUE((sum == Counts { { "w1", 10 }, { "w2", 3 } }));
    this->env->checkNoViolation();
}

TEST(Usage, StreamsAreCountedAtTheirFirstEventAndItemsAreNot)
{
    const auto first = this->env->startWithWorkspaces(2);
    auto& gateway = *this->env->gateways.at(0);
    this->env->engine.faults.breakAfter = 2;
    StreamCall call;
    call.id = "s1";
    call.headers.push_back({ "Authorization", "Bearer secret-1a" });
    LONGS_EQUAL(200, openStream(gateway, call).status);
    this->env->engine.faults.breakAfter = 0;
    LONGS_EQUAL(202,
        this->env
            ->call(gateway.callers, "POST", "/j/j1",
                { { "Topaztack-Request-Id", "j1" }, { "Authorization", "Bearer secret-2" } },
                TestEnvironment::jobBody({ "i1", "i2" }))
            .status);
    const auto sum = this->env->sumSince(first);
    CHECK_TRUE((sum == Counts { { "w1", 1 } }));
}

// The VM that sends a request to a server counts it; the one that has it carried knows no less of its workspace.
TEST(Usage, RequestsThatAreCarriedAreCountedOnceByTheVmThatCarriesThem)
{
    const auto first = this->env->startWithWorkspaces(1);
    StoreStandin cutView(this->env->threads);
    cutView.put("op", "", "config", TestEnvironment::configurationWithWorkspaces(2));
    auto record = boost::json::parse(this->env->booking.record("app")).as_object();
    record["address"] = toText(this->env->refusing.add());
    cutView.put("servers", "", "i-app", boost::json::serialize(record));
    cutView.put("gateways", "", "vm-1", this->env->store.rowsOf("gateways").at("vm-1"));
    this->env->adjustSettings = {};
    auto& cut = this->env->startGatewayAt(cutView.endpoint(), "vm-cut", 2);
    CHECK_TRUE(waitFor([&] { return !this->env->state(cut, "peers").as_object().empty(); }));
    for (int request = 0; request < 3; ++request)
        LONGS_EQUAL(200, this->env->bookAs(cut, "secret-1a", "carried-" + std::to_string(request)).status);
    const auto sum = this->env->sumSince(first);
    CHECK_TRUE((sum == Counts { { "w1", 3 } }));
    this->env->gateways.clear();
    this->env->threads.stop();
}

// The counts of the last half second before a kill are those at stake.
TEST(Usage, CountsOfAKilledVmAreReported)
{
    const auto first = this->env->startWithWorkspaces(3);
    const auto killed = (this->env->holder() + 1) % 3;
    for (int request = 0; request < 5; ++request)
        this->env->bookAs(*this->env->gateways.at(killed), "secret-1a", "one-" + std::to_string(request));
    std::this_thread::sleep_for(500ms);
    this->env->gateways.erase(this->env->gateways.begin() + static_cast<std::ptrdiff_t>(killed));
    const auto sum = this->env->sumSince(first);
    CHECK_TRUE((sum == Counts { { "w1", 5 } }));
}

// Nothing tells whether a VM that is cut off goes on serving: the platform wants no report rather than a wrong one.
TEST(Usage, NoReportIsSentWhileCountsThatMatterAreMissing)
{
    auto& gateway = this->env->startGateway();
    this->env->awaitHolder();
    // Listens and answers no message of VMs.
    PlatformApiStandin silent(this->env->threads, silence);
    silent.faults.isDown = true;
    const auto window = currentWindow() + 1;
    this->env->sendCounts(gateway, "vm-9", window, R"({"a":7})");
    this->env->store.put("gateways", "", "vm-7",
        R"({"vm":"vm-7","incarnation":1,"data_centre":"z2","address":")" + toText(silent.endpoint())
            + R"(","processor":1,"written_ms":)" + std::to_string(unixTime().count()) + "}");
    CHECK_TRUE(waitFor([&] { return this->env->duties(gateway, "reports").at("missed").to_number<int>() >= 1; }, 20s));
    // Neither a window with counts of the others nor one without.
    CHECK_FALSE(this->env->platform.report(window).has_value());
    CHECK_FALSE(this->env->platform.report(window + 1).has_value());
    // It has ended.
    this->env->store.remove("gateways", "", "vm-7");
    CHECK_TRUE(this->env->isReported(currentWindow()));
    this->env->checkNoViolation();
    this->env->gateways.clear();
    this->env->threads.stop();
}

TEST(Usage, WithoutDutiesNothingIsSentOrWritten)
{
    this->env->adjustSettings = {};
    this->env->startGateway();
    std::this_thread::sleep_for(1s);
    LONGS_EQUAL(0, this->env->platform.attempts());
    LONGS_EQUAL(0, this->env->store.rowsOf("usage-reports").size());
    CHECK_FALSE(this->env->store.rowsOf("leases").contains("platform-duties"));
    CHECK_TRUE(this->env->store.rowsOf("gateways").at("vm-1").find("clock_offset_ms") == std::string::npos);
}
