// Finds peers that have missed a page of a table, and the pages that they lack.
//
// Pages go only to peers that do not read the store. One that stops reading misses the pages that
// are passed on before it says so, and cannot apply later ones. If the store does not serve it, it
// has no other way to the missing page.
#ifndef FESCUEDECK_GATEWAY_PAGE_REPEATER_H
#define FESCUEDECK_GATEWAY_PAGE_REPEATER_H

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fescuedeck/base/time.h"
#include "fescuedeck/peer/peer_directory.h"
#include "fescuedeck/peer/table_records.h"

namespace fescuedeck {

struct repeated_page
{
    std::string peer;
    table_records page;
};

// Keeps the pages of the last seconds. Not thread-safe.
class page_repeater
{
public:
    void add(const table_records &page, time_point now);
    // Returns the pages to send again, in order for each peer. A peer gets them if its digests have
    // shown the same position, before the end of the kept pages, for a while.
    std::vector<repeated_page> update(const peer_directory &domain, time_point now);

private:
    struct kept_page
    {
        table_records page;
        time_point at{};
    };
    using kept_pages = std::deque<kept_page>; // oldest first

    struct lag
    {
        table_position position;
        time_point since{};
    };
    using peer_table = std::pair<std::string, std::string>; // names

    void expire(time_point now);
    bool isOverdue(const peer_table &key, const table_position &position, time_point now);
    static kept_pages::const_iterator firstMissing(const kept_pages &pages,
                                                   const table_position &position);

    std::map<std::string, kept_pages> m_pages; // by table
    std::map<peer_table, lag> m_lags;
};

} // namespace fescuedeck

#endif
