#include "fescuedeck/base/ids.h"

#include <cstdint>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

constexpr std::size_t uuidTextSize = 36;
constexpr int timestampBytes = 6;

bool isHyphenPosition(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

std::string randomBytes(int count, const random_fn &random)
{
    std::string bytes;
    while (static_cast<int>(bytes.size()) < count) {
        const std::uint64_t bits = random();
        for (int shift = 0; shift < 64 && static_cast<int>(bytes.size()) < count; shift += 8)
            bytes.push_back(static_cast<char>((bits >> shift) & 0xffU));
    }
    return bytes;
}

} // namespace

std::string makeUuidV7(unix_millis now, const random_fn &random)
{
    std::string bytes = randomBytes(16, random);
    const auto millis = static_cast<std::uint64_t>(now.count());
    for (int i = 0; i < timestampBytes; ++i)
        bytes[i] = static_cast<char>((millis >> (8 * (timestampBytes - 1 - i))) & 0xffU);
    bytes[6] = static_cast<char>((static_cast<unsigned char>(bytes[6]) & 0x0fU) | 0x70U); // version
    bytes[8] = static_cast<char>((static_cast<unsigned char>(bytes[8]) & 0x3fU) | 0x80U); // variant
    std::string text = toHex(bytes);
    for (const std::size_t position : { 8U, 13U, 18U, 23U })
        text.insert(position, "-");
    return text;
}

std::optional<unix_millis> uuidV7Time(std::string_view text)
{
    if (text.size() != uuidTextSize)
        return std::nullopt;
    std::string hex;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPosition(i) != (text[i] == '-'))
            return std::nullopt;
        if (text[i] != '-')
            hex.push_back(text[i]);
    }
    const auto bytes = fromHex(hex);
    if (!bytes)
        return std::nullopt;
    const std::string &value = bytes.value();
    const bool isVersion7 = (static_cast<unsigned char>(value[6]) >> 4U) == 7U;
    const bool isRfcVariant = (static_cast<unsigned char>(value[8]) >> 6U) == 2U;
    if (!isVersion7 || !isRfcVariant)
        return std::nullopt;
    std::int64_t millis = 0;
    for (int i = 0; i < timestampBytes; ++i)
        millis = (millis << 8) | static_cast<unsigned char>(value[i]);
    return unix_millis(millis);
}

std::string randomHex(int count, const random_fn &random)
{
    return toHex(randomBytes(count, random));
}

} // namespace fescuedeck
