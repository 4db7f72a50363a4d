#include "fescuedeck/telemetry/log_setup.h"

#include <optional>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <unistd.h>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/telemetry/bounded_appender.h"

namespace fescuedeck {
namespace {

constexpr name_table<int, 4> levels = { {
        { log4cxx::Level::ERROR_INT, "error" },
        { log4cxx::Level::WARN_INT, "warn" },
        { log4cxx::Level::INFO_INT, "info" },
        { log4cxx::Level::DEBUG_INT, "debug" },
} };

log4cxx::LoggerPtr loggerOf(const char *module)
{
    return log4cxx::Logger::getLogger(std::string("fescuedeck.") + module);
}

// Bytes that wait for the reader of standard output; further lines are left out.
constexpr std::size_t maxWaitingBytes = 256 * 1024;

bounded_line_writer &standardOutput()
{
    static bounded_line_writer writer(STDOUT_FILENO, maxWaitingBytes);
    return writer;
}

class event_appender : public log4cxx::AppenderSkeleton
{
public:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        standardOutput().write(event->getMessage());
    }
    void close() override {}
    bool requiresLayout() const override { return false; }
};

result<int> levelOf(const std::string &level)
{
    const std::optional<int> value = valueOf(levels, level);
    if (value)
        return *value;
    return makeFailure(errc::InvalidSettings,
                       "log level \"" + level + "\" is not one of error, warn, info, debug");
}

} // namespace

result<bool> setUpEventLogging(const std::string &level)
{
    const auto value = levelOf(level);
    if (!value)
        return value.error();
    log4cxx::BasicConfigurator::configure(std::make_shared<event_appender>());
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(value.value()));
    return true;
}

void flushEventLog()
{
    standardOutput().flush();
}

result<bool> setUpLogging(const std::string &level)
{
    const auto value = levelOf(level);
    if (!value)
        return value.error();
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %c %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(value.value()));
    return true;
}

void logInfo(const char *module, const std::string &message)
{
    LOG4CXX_INFO(loggerOf(module), message);
}

void logWarning(const char *module, const std::string &message)
{
    LOG4CXX_WARN(loggerOf(module), message);
}

void logError(const char *module, const std::string &message)
{
    LOG4CXX_ERROR(loggerOf(module), message);
}

} // namespace fescuedeck
