#include "fescuedeck/settings/yaml_fields.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <yaml-cpp/yaml.h>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {
namespace {

constexpr std::int64_t highestPort = 65535;

// Microseconds in each unit of time.
constexpr name_table<std::int64_t, 5> timeUnits = { {
        { 1, "us" },
        { 1000, "ms" },
        { 1000000, "s" },
        { 60000000, "min" },
        { 3600000000, "h" },
} };

constexpr name_table<std::int64_t, 3> byteUnits = { {
        { 1, "" },
        { 1024, "KiB" },
        { 1048576, "MiB" },
} };

struct quantity
{
    double number = 0;
    std::string unit;
};

std::optional<quantity> splitQuantity(const std::string &text)
{
    std::size_t used = 0;
    quantity value;
    try {
        value.number = std::stod(text, &used);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    value.unit = text.substr(used);
    if (!std::isfinite(value.number) || value.number < 0)
        return std::nullopt;
    return value;
}

template <std::size_t Size>
std::optional<std::int64_t> scaled(const std::string &text,
                                   const name_table<std::int64_t, Size> &units)
{
    constexpr double largest = 9e15; // below the integers that a double holds exactly
    const auto value = splitQuantity(text);
    if (!value)
        return std::nullopt;
    const auto factor = valueOf(units, value->unit);
    if (!factor)
        return std::nullopt;
    const double result = value->number * static_cast<double>(*factor);
    if (result > largest)
        return std::nullopt;
    return std::llround(result);
}

std::optional<std::int64_t> wholeNumber(const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string timeText(duration value)
{
    std::ostringstream out;
    if (value >= std::chrono::seconds(1))
        out << std::chrono::duration<double>(value).count() << "s";
    else
        out << std::chrono::duration<double, std::milli>(value).count() << "ms";
    return out.str();
}

} // namespace

void yaml_problems::add(const YAML::Node &node, const std::string &path, const std::string &problem)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    const std::string place = line > 0 ? m_file + ":" + std::to_string(line) : m_file;
    m_lines.push_back(place + ": " + path + ": " + problem);
}

yaml_fields::yaml_fields(const YAML::Node &node, std::string path, yaml_problems &problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (m_node.IsMap())
        return;
    m_problems.add(m_node, m_path.empty() ? "file" : m_path, "must be a mapping of fields");
    m_node = YAML::Node(YAML::NodeType::Map);
}

std::string yaml_fields::pathOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

YAML::Node yaml_fields::take(const std::string &name)
{
    m_known.insert(name);
    const YAML::Node &constant = m_node; // the non-const operator would insert the name
    return constant[name];
}

void yaml_fields::problem(const std::string &name, const std::string &text)
{
    const YAML::Node &constant = m_node;
    const YAML::Node field = constant[name];
    m_problems.add(field.IsDefined() ? field : m_node, pathOf(name), text);
}

void yaml_fields::text(const std::string &name, std::string &target, bool required)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined() || field.IsNull()) {
        if (required)
            problem(name, "is missing; add it");
        return;
    }
    if (!field.IsScalar() || field.Scalar().empty())
        return problem(name, "must be a non-empty text");
    target = field.Scalar();
}

void yaml_fields::integer(const std::string &name, std::int64_t &target, std::int64_t minimum,
                          std::int64_t maximum)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    const auto value = field.IsScalar() ? wholeNumber(field.Scalar()) : std::nullopt;
    if (!value || *value < minimum || *value > maximum)
        return problem(name, "must be a whole number from " + std::to_string(minimum) + " to "
                                     + std::to_string(maximum));
    target = *value;
}

void yaml_fields::time(const std::string &name, duration &target, duration minimum,
                       duration maximum)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    const auto value = field.IsScalar() ? scaled(field.Scalar(), timeUnits) : std::nullopt;
    if (!value || duration(*value) < minimum || duration(*value) > maximum)
        return problem(name, "must be a time from " + timeText(minimum) + " to " + timeText(maximum)
                                     + " with its unit (us, ms, s, min or h), for example 250ms");
    target = duration(*value);
}

void yaml_fields::bytes(const std::string &name, std::int64_t &target, std::int64_t minimum,
                        std::int64_t maximum)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    const auto value = field.IsScalar() ? scaled(field.Scalar(), byteUnits) : std::nullopt;
    if (!value || *value < minimum || *value > maximum)
        return problem(name, "must be a size from " + std::to_string(minimum) + " to "
                                     + std::to_string(maximum)
                                     + " bytes, optionally with the unit KiB or MiB");
    target = *value;
}

void yaml_fields::address(const std::string &name, std::string &target, bool required,
                          bool allowPortZero)
{
    std::string value;
    const std::size_t before = m_problems.lines().size();
    text(name, value, required);
    if (value.empty() || m_problems.lines().size() != before)
        return;
    if (!detail::isNumericAddress(value, allowPortZero))
        return problem(name, "must be ip:port with a numeric address, for example 10.0.0.4:7100");
    target = value;
}

void yaml_fields::addressList(const std::string &name, std::vector<std::string> &target)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    if (!field.IsSequence())
        return problem(name, "must be a list of ip:port");
    for (std::size_t i = 0; i < field.size(); ++i) {
        const std::string entry = field[i].IsScalar() ? field[i].Scalar() : std::string();
        if (!detail::isNumericAddress(entry, false))
            m_problems.add(field[i], pathOf(name) + "[" + std::to_string(i) + "]",
                           "must be ip:port with a numeric address, for example 10.0.0.4:7100");
        target.push_back(entry);
    }
}

void yaml_fields::section(const std::string &name, const std::function<void(yaml_fields &)> &read)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    yaml_fields fields(field, pathOf(name), m_problems);
    read(fields);
    fields.finish();
}

void yaml_fields::list(const std::string &name, const std::function<void(yaml_fields &)> &read)
{
    const YAML::Node field = take(name);
    if (!field.IsDefined())
        return;
    if (!field.IsSequence())
        return problem(name, "must be a list");
    for (std::size_t i = 0; i < field.size(); ++i) {
        yaml_fields fields(field[i], pathOf(name) + "[" + std::to_string(i) + "]", m_problems);
        read(fields);
        fields.finish();
    }
}

void yaml_fields::finish()
{
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (m_known.count(name) == 0)
            m_problems.add(entry.first, pathOf(name), "is not a known field; remove or rename it");
        else if (!seen.insert(name).second)
            m_problems.add(entry.first, pathOf(name), "is given twice; remove one");
    }
}

namespace detail {

bool isNumericAddress(const std::string &text, bool allowPortZero)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error || address.is_v6() != isBracketed)
        return false;
    const auto port = wholeNumber(text.substr(colon + 1));
    return port && *port <= highestPort && *port >= (allowPortZero ? 0 : 1);
}

} // namespace detail
} // namespace fescuedeck
