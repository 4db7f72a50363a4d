#include "fescuedeck/gateway/page_repeater.h"

#include <algorithm>
#include <iterator>

namespace fescuedeck {
namespace {

// An endpoint that leaves must get no more requests after 2 to 3 s. A page usually arrives, and the
// next digest of its receiver shows that, within 0.4 s.
constexpr duration maxLag = std::chrono::milliseconds(700);
constexpr duration pageRetention = std::chrono::seconds(10);
constexpr std::size_t maxKeptPages = 64; // of each table

} // namespace

void page_repeater::add(const table_records &page, time_point now)
{
    kept_pages &pages = m_pages[page.table];
    pages.push_back({ page, now });
    if (pages.size() > maxKeptPages)
        pages.pop_front();
}

std::vector<repeated_page> page_repeater::update(const peer_directory &domain, time_point now)
{
    expire(now);
    std::vector<repeated_page> repeated;
    domain.forEachLive(now, [&](const std::string &peer, const peer_digest &digest) {
        if (!digest.tables)
            return;
        for (const auto &[table, position] : digest.tables->positions) {
            if (!isOverdue({ peer, table }, position, now))
                continue;
            const kept_pages &pages = m_pages[table];
            for (auto kept = firstMissing(pages, position); kept != pages.end(); ++kept)
                repeated.push_back({ peer, kept->page });
        }
    });
    return repeated;
}

void page_repeater::expire(time_point now)
{
    for (auto &[table, pages] : m_pages) {
        while (!pages.empty() && now - pages.front().at > pageRetention)
            pages.pop_front();
    }
    for (auto entry = m_lags.begin(); entry != m_lags.end();)
        entry = now - entry->second.since > pageRetention ? m_lags.erase(entry) : std::next(entry);
}

// Whether pages are due again: a repeated page may be lost as well.
bool page_repeater::isOverdue(const peer_table &key, const table_position &position, time_point now)
{
    const auto pages = m_pages.find(key.second);
    const bool isBehind = pages != m_pages.end() && !pages->second.empty()
                          && position.epoch == pages->second.back().page.epoch
                          && position.next < pages->second.back().page.next;
    if (!isBehind) {
        m_lags.erase(key);
        return false;
    }
    lag &known = m_lags.try_emplace(key, lag{ position, now }).first->second;
    if (known.position.next != position.next)
        known = { position, now };
    if (now - known.since < maxLag)
        return false;
    known.since = now;
    return true;
}

// The last page that continues the position, because the pages after it follow each other.
page_repeater::kept_pages::const_iterator
page_repeater::firstMissing(const kept_pages &pages, const table_position &position)
{
    const auto found = std::find_if(pages.rbegin(), pages.rend(), [&](const kept_page &kept) {
        return kept.page.epoch == position.epoch && kept.page.from <= position.next
               && position.next < kept.page.next;
    });
    return found == pages.rend() ? pages.end() : std::next(found).base();
}

} // namespace fescuedeck
