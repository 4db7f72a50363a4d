// A half-open range of model layers, [begin, end).
#ifndef FESCUEDECK_BASE_LAYER_RANGE_H
#define FESCUEDECK_BASE_LAYER_RANGE_H

#include <string>

namespace fescuedeck {

struct layer_range
{
    int begin = 0;
    int end = 0;

    int size() const { return end - begin; }
    bool contains(const layer_range &other) const
    {
        return begin <= other.begin && other.end <= end;
    }
    friend bool operator==(const layer_range &a, const layer_range &b)
    {
        return a.begin == b.begin && a.end == b.end;
    }
    friend bool operator!=(const layer_range &a, const layer_range &b) { return !(a == b); }
};

inline std::string toString(const layer_range &range)
{
    return std::to_string(range.begin) + "-" + std::to_string(range.end);
}

} // namespace fescuedeck

#endif
