#include "fescuedeck/control/bounded_set.h"

#include <nlohmann/json.hpp>

namespace fescuedeck::detail {

void bounded_set::add(const std::string &key, std::int64_t offset)
{
    remove(key);
    m_keys.insert(key);
    m_offsetByKey[key] = offset;
    m_keyByOffset[offset] = key;
    if (m_keys.size() > m_capacity)
        remove(std::string(m_keyByOffset.begin()->second));
}

void bounded_set::remove(const std::string &key)
{
    const auto found = m_offsetByKey.find(key);
    if (found == m_offsetByKey.end())
        return;
    m_keyByOffset.erase(found->second);
    m_keys.erase(key);
    m_offsetByKey.erase(found);
}

nlohmann::json bounded_set::toJson() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[offset, key] : m_keyByOffset)
        entries.push_back({ key, offset });
    return entries;
}

bool bounded_set::restore(const nlohmann::json &entries, std::int64_t endOffset)
{
    *this = bounded_set(m_capacity);
    std::int64_t previous = -1;
    for (const nlohmann::json &entry : entries) {
        const auto offset = entry.at(1).get<std::int64_t>();
        if (offset <= previous || offset >= endOffset)
            return false;
        previous = offset;
        add(entry.at(0).get<std::string>(), offset);
    }
    return true;
}

} // namespace fescuedeck::detail
