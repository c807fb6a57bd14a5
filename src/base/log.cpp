#include <topaztack/base/log.hpp>

#include <topaztack/base/random.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

namespace topaztack {

namespace {

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
    boost::log::add_console_log(std::cout, boost::log::keywords::format = expressions::stream << expressions::smessage,
        boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= least);
}

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
