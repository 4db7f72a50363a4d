#include "fescuedeck/telemetry/log_setup.h"

#include <optional>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include "fescuedeck/base/name_table.h"

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

} // namespace

result<bool> setUpLogging(const std::string &level)
{
    const std::optional<int> value = valueOf(levels, level);
    if (!value)
        return makeFailure(errc::InvalidSettings, "log level \"" + level
                                                          + "\" is not one of error, "
                                                            "warn, info, debug");
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %p %c %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(*value));
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
