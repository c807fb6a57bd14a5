#include <topaztack/base/log.hpp>

#include <topaztack/base/random.hpp>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <future>
#include <iostream>
#include <thread>

namespace topaztack {

namespace {

    /// Lines that wait for the writer; a line has about 200 bytes.
    constexpr std::size_t queuedLines = 4096;

    std::atomic<std::uint64_t>& dropped()
    {
        static std::atomic<std::uint64_t> count { 0 };
        return count;
    }

    // NOLINTBEGIN(readability-identifier-naming): Boost.Log looks for these names
    /// Overflow strategy of the queue: drops the line and counts it.
    struct CountDropped {
        template <typename Lock> static bool on_overflow(const boost::log::record_view&, Lock&)
        {
            dropped().fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        static void on_queue_space_available() { }
        static void interrupt() { }
    };
    // NOLINTEND(readability-identifier-naming)

    using LogSink = boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend,
        boost::log::sinks::bounded_fifo_queue<queuedLines, CountDropped>>;

    boost::shared_ptr<LogSink>& currentSink()
    {
        static boost::shared_ptr<LogSink> sink;
        return sink;
    }

    std::string& processFields()
    {
        static std::string fields;
        return fields;
    }

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "error";
    }

    std::string timeText()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        const auto micros
            = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() % 1'000'000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char text[40];
        const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
        std::string fraction = std::to_string(micros);
        fraction.insert(0, 6 - fraction.size(), '0');
        return std::string(text, length) + "." + fraction + "Z";
    }

} // namespace

void openLog(std::string_view process, Incarnation incarnation, LogLevel least)
{
    namespace expressions = boost::log::expressions;
    processFields() = " process=" + quoteLogValue(process) + " incarnation=" + toHex(incarnation.value());
    const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<LogSink>(backend);
    sink->set_formatter(expressions::stream << expressions::smessage);
    currentSink() = sink;
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= least);
}

void closeLog(std::chrono::milliseconds longest)
{
    const auto sink = currentSink();
    if (!sink)
        return;
    boost::log::core::get()->remove_sink(sink);
    currentSink().reset();
    // A reader that takes nothing would hold up the writer for ever.
    auto done = std::make_shared<std::promise<void>>();
    auto flushed = done->get_future();
    std::thread([sink, done] {
        sink->stop();
        sink->flush();
        done->set_value();
    }).detach();
    flushed.wait_for(longest);
}

std::uint64_t droppedLogLines() { return dropped().load(std::memory_order_relaxed); }

std::string quoteLogValue(std::string_view value)
{
    static constexpr std::string_view special = " \"=\\\t\r\n";
    bool isPlain = !value.empty();
    for (const char character : value)
        isPlain = isPlain && static_cast<unsigned char>(character) > 0x20
            && special.find(character) == std::string_view::npos;
    if (isPlain)
        return std::string(value);
    std::string quoted = "\"";
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            quoted += '\\';
        if (byte < 0x20)
            quoted += "\\x" + toHex(byte).substr(14);
        else
            quoted += character;
    }
    return quoted + "\"";
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    auto record = logger.open_record(boost::log::keywords::severity = level);
    if (!record)
        return;
    std::string line = "time=" + timeText() + " level=" + std::string(levelName(level)) + " event=" + std::string(event)
        + processFields();
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += quoteLogValue(field.value);
    }
    boost::log::record_ostream stream(record);
    stream << line;
    stream.flush();
    logger.push_record(std::move(record));
}

} // namespace topaztack
