// Strict reading of a YAML mapping: each field is read once with its type and range, and fields
// that nobody read are errors.
//
// Use it for files that an operator writes by hand. Errors are collected instead of ending at the
// first one, so that one run shows everything that must be corrected.
#ifndef FESCUEDECK_SETTINGS_YAML_FIELDS_H
#define FESCUEDECK_SETTINGS_YAML_FIELDS_H

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/node/node.h>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Collects "file:line: path: problem; remedy" lines.
class yaml_problems
{
public:
    explicit yaml_problems(std::string file)
        : m_file(std::move(file))
    {
    }

    void add(const YAML::Node &node, const std::string &path, const std::string &problem);
    const std::vector<std::string> &lines() const { return m_lines; }

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

// One mapping of the file. The destructor does nothing: call finish() to report unknown fields.
class yaml_fields
{
public:
    // path is empty for the root. A node that is not a mapping is reported and read as empty.
    yaml_fields(const YAML::Node &node, std::string path, yaml_problems &problems);

    // Each reader leaves the target unchanged if the field is missing, unless it is required.
    void text(const std::string &name, std::string &target, bool required = false);
    void integer(const std::string &name, std::int64_t &target, std::int64_t minimum,
                 std::int64_t maximum);
    // A number with the unit us, ms, s, min or h, for example 250ms.
    void time(const std::string &name, duration &target, duration minimum, duration maximum);
    // A number of bytes with an optional unit KiB or MiB.
    void bytes(const std::string &name, std::int64_t &target, std::int64_t minimum,
               std::int64_t maximum);
    // ip:port; port 0 picks a free port and is refused unless allowed.
    void address(const std::string &name, std::string &target, bool required, bool allowPortZero);
    void addressList(const std::string &name, std::vector<std::string> &target);
    // Calls read for the mapping below name, if there is one.
    void section(const std::string &name, const std::function<void(yaml_fields &)> &read);
    // Calls read for each mapping of the list below name.
    void list(const std::string &name, const std::function<void(yaml_fields &)> &read);

    void problem(const std::string &name, const std::string &text);
    void finish();

private:
    YAML::Node take(const std::string &name);
    std::string pathOf(const std::string &name) const;

    YAML::Node m_node;
    std::string m_path;
    yaml_problems &m_problems;
    std::set<std::string> m_known;
};

namespace detail {

// True for ip:port with a numeric IPv4 address or a bracketed IPv6 address.
bool isNumericAddress(const std::string &text, bool allowPortZero);

} // namespace detail
} // namespace fescuedeck

#endif
