#include "fescuedeck/clients/host_list_client.h"

#include <optional>

#include "fescuedeck/clients/service_call.h"

namespace fescuedeck {
namespace {

using nlohmann::json;

const std::string *textField(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found == object.end() ? nullptr : found->get_ptr<const std::string *>();
}

failure malformedEntry()
{
    return makeFailure(errc::InvalidMessage,
                       "an entry of the host list lacks host, address, role, state or incarnation");
}

} // namespace

result<std::vector<host_entry>> parseHostList(const std::string &text)
{
    const auto parsed = detail::parseJson(text);
    if (!parsed)
        return parsed.error();
    const json &list = parsed.value();
    const auto hosts = list.find("hosts");
    if (!list.is_object() || hosts == list.end() || !hosts->is_array())
        return makeFailure(errc::InvalidMessage, "the host list has no array \"hosts\"");
    std::vector<host_entry> entries;
    for (const json &object : *hosts) {
        if (!object.is_object())
            return malformedEntry();
        const std::string *host = textField(object, "host");
        const std::string *address = textField(object, "address");
        const std::string *role = textField(object, "role");
        const std::string *state = textField(object, "state");
        const std::string *incarnation = textField(object, "incarnation");
        if (!host || !address || !role || !state || !incarnation)
            return malformedEntry();
        const auto knownRole = valueOf(hostRoleNames, *role);
        const auto knownState = valueOf(hostStateNames, *state);
        if (knownRole && knownState)
            entries.push_back({ *host, *address, *knownRole, *knownState, *incarnation });
    }
    return entries;
}

host_list_client::host_list_client(http_client &client, std::string address)
    : m_client(client)
    , m_address(std::move(address))
{
}

result<std::vector<host_entry>> host_list_client::fetch(duration timeout,
                                                        boost::asio::yield_context yield)
{
    call_options options;
    options.timeout = timeout;
    options.idempotent = true;
    const auto outcome = m_client.send(m_address, { "GET", "/hosts", {}, "" }, options, yield);
    if (!outcome.response)
        return outcome.response.error();
    const http_response &response = outcome.response.value();
    if (response.status != 200) {
        return makeFailure(errc::NotReady,
                           "the host list answers with status " + std::to_string(response.status));
    }
    return parseHostList(response.body);
}

} // namespace fescuedeck
