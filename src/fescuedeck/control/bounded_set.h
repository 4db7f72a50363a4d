// A set of bounded size that evicts the least recently added key.
//
// Use it for state that is computed from an unlimited number of log records, where forgetting the
// oldest entry is acceptable. Not thread-safe.
#ifndef FESCUEDECK_CONTROL_BOUNDED_SET_H
#define FESCUEDECK_CONTROL_BOUNDED_SET_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace fescuedeck::detail {

class bounded_set
{
public:
    explicit bounded_set(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Adds the key, or makes it the newest one if it is already in the set. The offset is that of
    // the log record that adds the key. It must differ from all offsets passed before, because the
    // order of the offsets is the order of eviction.
    void add(const std::string &key, std::int64_t offset);
    void remove(const std::string &key);
    bool contains(const std::string &key) const { return m_keys.count(key) != 0; }
    const std::set<std::string> &keys() const { return m_keys; }

    // Returns [[key, offset], ...] from oldest to newest.
    nlohmann::json toJson() const;
    // Replaces the contents by the entries, which toJson has written. If an entry has another form,
    // the offsets do not increase, or one is not below endOffset, it returns false or throws
    // nlohmann::json::exception and leaves the set partly filled.
    bool restore(const nlohmann::json &entries, std::int64_t endOffset);

private:
    std::size_t m_capacity;
    std::set<std::string> m_keys;
    std::map<std::string, std::int64_t> m_offsetByKey;
    std::map<std::int64_t, std::string> m_keyByOffset;
};

} // namespace fescuedeck::detail

#endif
