#include <topaztack/base/log.hpp>

#include <CppUTest/TestHarness.h>

#include <sys/wait.h>
#include <unistd.h>

#include <string>

using namespace topaztack;

namespace {

/// Runs `work` in a child whose standard output is a pipe; its exit code is what `work` returns.
template <typename Work> int runWithPipe(int& readEnd, const Work& work)
{
    int ends[2];
    if (pipe(ends) != 0)
        return -1;
    const auto child = fork();
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        // A log that blocks on its reader is ended by this alarm.
        alarm(20);
        _exit(work());
    }
    close(ends[1]);
    readEnd = ends[0];
    int status = 0;
    waitpid(child, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string readAll(int descriptor)
{
    std::string text;
    char piece[4096];
    for (auto size = read(descriptor, piece, sizeof piece); size > 0; size = read(descriptor, piece, sizeof piece))
        text.append(piece, static_cast<std::size_t>(size));
    close(descriptor);
    return text;
}

} // namespace

TEST_GROUP(Log) {};

TEST(Log, LinesGoToStandardOutputWithTheirFields)
{
    int output = -1;
    const int code = runWithPipe(output, [] {
        openLog("vm-1", Incarnation(7));
        logEvent(LogLevel::Debug, "hidden");
        logEvent(LogLevel::Info, "seen", { { "id", "r 1" } });
        closeLog(std::chrono::milliseconds(5000));
        return 0;
    });
    LONGS_EQUAL(0, code);
    const auto text = readAll(output);
    CHECK_TRUE(text.find("event=seen process=vm-1 incarnation=0000000000000007 id=\"r 1\"\n") != std::string::npos);
    CHECK_TRUE(text.find("hidden") == std::string::npos);
}

TEST(Log, AReaderThatTakesNothingCostsLinesAndNoTime)
{
    int output = -1;
    const int code = runWithPipe(output, [] {
        openLog("vm-1", Incarnation(7));
        for (int line = 0; line < 20'000; ++line)
            logEvent(LogLevel::Info, "many", { { "line", std::to_string(line) } });
        return droppedLogLines() > 10'000 ? 0 : 1;
    });
    close(output);
    LONGS_EQUAL(0, code);
}
