// A set of bounded size that evicts the key that was added longest ago.
//
// Use it for state that is folded from records of any number, where forgetting the oldest entry is
// acceptable. Not thread-safe.
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

    // Adds the key or renews its offset. Ages are record offsets: no two adds have the same.
    void add(const std::string &key, std::int64_t offset);
    void remove(const std::string &key);
    bool contains(const std::string &key) const { return m_keys.count(key) != 0; }
    const std::set<std::string> &keys() const { return m_keys; }

    // [[key, offset], ...] from oldest to newest.
    nlohmann::json toJson() const;
    // Returns false, or throws nlohmann::json::exception, unless the entries are as toJson writes
    // them and all ages are below endOffset.
    bool restore(const nlohmann::json &entries, std::int64_t endOffset);

private:
    std::size_t m_capacity;
    std::set<std::string> m_keys;
    std::map<std::string, std::int64_t> m_offsetByKey;
    std::map<std::int64_t, std::string> m_keyByOffset;
};

} // namespace fescuedeck::detail

#endif
