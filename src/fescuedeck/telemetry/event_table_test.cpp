// Compares the events that the sources log with the table of events in docs/OPERATIONS.md.
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

namespace fs = std::filesystem;
using event_fields = std::map<std::string, std::set<std::string>>; // by event

std::string textOf(const fs::path &path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

std::set<std::string> matchesOf(const std::string &text, const std::string &pattern)
{
    std::set<std::string> found;
    const std::regex expression(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end;
         ++match)
        found.insert((*match)[1]);
    return found;
}

// A statement names its event, or two of which it logs one, before its first field.
void addStatement(const std::string &statement, event_fields &events)
{
    const std::size_t firstField = statement.find(".field(");
    const auto names = matchesOf(statement.substr(0, firstField), "\"([a-z_]+)\"");
    const auto fields = matchesOf(statement, "\\.field\\(\\s*\"([a-z_]+)\"");
    for (const std::string &name : names)
        events[name].insert(fields.begin(), fields.end());
}

event_fields loggedEvents()
{
    event_fields events;
    for (const char *folder : { "src", "platform" }) {
        for (const auto &entry :
             fs::recursive_directory_iterator(fs::path(FESCUEDECK_SOURCE_DIR) / folder)) {
            const std::string name = entry.path().filename().string();
            const bool isSource = entry.path().extension() == ".cpp"
                                  && name.find("_test.cpp") == std::string::npos
                                  && name != "event_line.cpp";
            if (!isSource)
                continue;
            const std::string text = textOf(entry.path());
            const std::string begin = "event_line(";
            for (std::size_t at = text.find(begin); at != std::string::npos;
                 at = text.find(begin, at + 1))
                addStatement(text.substr(at, text.find(';', at) - at), events);
        }
    }
    return events;
}

// Rows whose first cell names events. Fields stand in the second cell, those of several events
// separated by semicolons or shared; values of a field follow it in parentheses.
event_fields documentedEvents()
{
    event_fields events;
    std::istringstream lines(textOf(fs::path(FESCUEDECK_SOURCE_DIR) / "docs/OPERATIONS.md"));
    bool isTable = false;
    for (std::string line; std::getline(lines, line);) {
        isTable = line == "| event | fields | meaning |" || (isTable && line.substr(0, 1) == "|");
        if (!isTable)
            continue;
        const std::size_t second = line.find('|', 1);
        const std::size_t third = line.find('|', second + 1);
        const std::string values = std::regex_replace(line.substr(second, third - second),
                                                      std::regex("\\([^)]*\\)"), "");
        for (const std::string &name : matchesOf(line.substr(0, second), "`([a-z_]+)`"))
            events[name] = matchesOf(values, "`([a-z_]+)`");
    }
    return events;
}

} // namespace

// Guards against a page that lags behind the code: the on-call engineer has only logs.
TEST_CASE("every logged event and each of its fields stands on the operations page", "[telemetry]")
{
    const event_fields logged = loggedEvents();
    const event_fields documented = documentedEvents();
    CHECK(logged.size() > 20);
    for (const auto &[name, fields] : logged) {
        CAPTURE(name);
        REQUIRE(documented.count(name) == 1);
        for (const std::string &field : fields) {
            CAPTURE(field);
            CHECK(documented.at(name).count(field) == 1);
        }
    }
    for (const auto &[name, fields] : documented) {
        CAPTURE(name);
        CHECK(logged.count(name) == 1);
    }
}

} // namespace fescuedeck
