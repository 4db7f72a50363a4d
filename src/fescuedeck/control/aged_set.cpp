#include "fescuedeck/control/aged_set.h"

#include <nlohmann/json.hpp>

namespace fescuedeck::detail {

void aged_set::add(const std::string &key, std::int64_t age)
{
    remove(key);
    m_keys.insert(key);
    m_ageByKey[key] = age;
    m_keyByAge[age] = key;
    if (m_keys.size() > m_capacity)
        remove(std::string(m_keyByAge.begin()->second));
}

void aged_set::remove(const std::string &key)
{
    const auto found = m_ageByKey.find(key);
    if (found == m_ageByKey.end())
        return;
    m_keyByAge.erase(found->second);
    m_keys.erase(key);
    m_ageByKey.erase(found);
}

nlohmann::json aged_set::toJson() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &[age, key] : m_keyByAge)
        entries.push_back({ key, age });
    return entries;
}

bool aged_set::restore(const nlohmann::json &entries, std::int64_t maxAge)
{
    *this = aged_set(m_capacity);
    std::int64_t previous = -1;
    for (const nlohmann::json &entry : entries) {
        const auto age = entry.at(1).get<std::int64_t>();
        if (age <= previous || age >= maxAge)
            return false;
        previous = age;
        add(entry.at(0).get<std::string>(), age);
    }
    return true;
}

} // namespace fescuedeck::detail
