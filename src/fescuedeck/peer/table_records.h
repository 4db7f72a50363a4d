// What gateways of one failure domain tell each other about the tables of the store.
#ifndef FESCUEDECK_PEER_TABLE_RECORDS_H
#define FESCUEDECK_PEER_TABLE_RECORDS_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {

// Whether a gateway reads the tables from the store.
enum class store_access {
    Unused,  // it does not read them, or has not read yet
    Served,  // it reads them, and the last read succeeded
    Failing, // its last read failed
};

constexpr name_table<store_access, 3> storeAccessNames = { {
        { store_access::Unused, "unused" },
        { store_access::Served, "served" },
        { store_access::Failing, "failing" },
} };

// How far a table is known. Offsets are comparable only within one epoch of the store.
struct table_position
{
    std::int64_t epoch = 0;
    std::int64_t next = 0; // offset of the next record

    friend bool operator<(const table_position &a, const table_position &b)
    {
        return std::tie(a.epoch, a.next) < std::tie(b.epoch, b.next);
    }
};

struct table_report
{
    store_access access = store_access::Unused;
    std::map<std::string, table_position> positions; // by table
};

struct table_record
{
    std::string key;
    std::string value;
    std::int64_t offset = 0;
    bool isRemoval = false;
};

// A page that the sender has read from the store.
struct table_records
{
    std::string table;
    std::int64_t epoch = 0;
    std::int64_t from = 0; // the page has all records from this offset on, up to next
    std::int64_t next = 0;
    bool isWhole = false; // the newest record of each key; from is 0
    std::vector<table_record> records;
};

} // namespace fescuedeck

#endif
