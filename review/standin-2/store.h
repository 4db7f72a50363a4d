// A stand-in of the platform's store: a log with keyed topics, groups with one owner for each
// partition, and the entries that the operator and the replicas write.
#ifndef REVIEW_STANDIN_2_STORE_H
#define REVIEW_STANDIN_2_STORE_H

#include <condition_variable>
#include <map>
#include <mutex>

#include "http.h"

namespace standin {

class store
{
public:
    store()
    {
        const auto [listener, port] = listenOn();
        m_port = port;
        std::thread([this, listener = listener] {
            serveForEver(listener, [this](connection &to) { serve(to); });
        }).detach();
    }
    int port() const { return m_port; }

    // Writes a record of a keyed topic. An empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        add(topic, key, value);
    }

private:
    struct record
    {
        std::string key, value;
    };
    struct keyed_topic
    {
        std::vector<record> log;
        std::map<std::string, std::size_t> newest;
    };
    struct group
    {
        std::map<std::string, steady::time_point> members; // ends of their membership
        std::string owner;                                 // of the partitions
        std::int64_t generation = 0;
    };
    static constexpr std::size_t maxItems = 500;

    void add(const std::string &topic, const std::string &key, const std::string &value)
    {
        keyed_topic &to = m_topics[topic];
        to.log.push_back({ key, value });
        if (value.empty())
            to.newest.erase(key);
        else
            to.newest[key] = to.log.size() - 1;
        m_changed.notify_all();
    }

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text += static_cast<char>((value >> shift) & 0xff);
        return text;
    }
    static std::string base64(const std::string &bytes)
    {
        static const char *const digits
                = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text += j <= count ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }
    static std::string unescape(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }
    // The text of a field of a flat JSON object.
    static std::string textField(const std::string &json, const std::string &name)
    {
        const std::size_t found = json.find("\"" + name + "\":\"");
        if (found == std::string::npos)
            return {};
        const std::size_t begin = found + name.size() + 4;
        return json.substr(begin, json.find('"', begin) - begin);
    }
    static double numberField(const std::string &json, const std::string &name)
    {
        const std::size_t found = json.find("\"" + name + "\":");
        return found == std::string::npos ? 0 : std::atof(json.c_str() + found + name.size() + 3);
    }
    static std::string answer(int status, const std::string &body,
                              const std::string &type = "application/json")
    {
        return responseText(status, { { "Store-Era", "1" }, { "Content-Type", type } }, body);
    }

    void serve(connection &to)
    {
        message request;
        while (to.readRequest(request)) {
            if (!to.write(handle(request, to)))
                return;
        }
    }

    std::string handle(const message &request, const connection &to)
    {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string topic = request.parameter("topic");
        // How the replicas reach the store is not on the pages; this call is their own.
        if (path == "/standin/announce") {
            put("keyed.servers", request.parameter("key"), request.body);
            return answer(200, "{}");
        }
        if (path == "/api/log-append")
            return append(topic, request);
        if (path == "/api/log-read")
            return read(topic, request, to);
        if (path == "/api/log-newest")
            return newest(topic, unescape(request.parameter("after")));
        if (path == "/api/log-join")
            return join(request.body);
        if (path == "/api/log-leave")
            return leave(request.body);
        return answer(200, "{}");
    }

    std::string append(const std::string &topic, const message &request)
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t end = m_topics[topic].log.size();
        if (topic == "keyed.op" || topic == "keyed.servers")
            return answer(403, "{}");
        const std::string at = request.parameter("at");
        if (!at.empty() && std::strtoul(at.c_str(), nullptr, 10) != end)
            return answer(412, "{\"endOffset\":" + std::to_string(end) + "}");
        const std::string &body = request.body;
        for (std::size_t position = 0; position + 4 < body.size();) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(body[position + i]);
            const std::size_t keySize = static_cast<unsigned char>(body[position + 4]);
            add(topic, body.substr(position + 5, keySize),
                body.substr(position + 5 + keySize, size - 1 - keySize));
            position += 4 + size;
        }
        return answer(200, "{\"offset\":" + std::to_string(end) + ",\"endOffset\":"
                                   + std::to_string(m_topics[topic].log.size()) + "}");
    }

    std::string read(const std::string &topic, const message &request, const connection &to)
    {
        const std::size_t from = std::strtoul(request.parameter("from").c_str(), nullptr, 10);
        const auto limit = steady::now()
                           + std::chrono::milliseconds(
                                   std::strtol(request.parameter("waitMs").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        while (m_topics[topic].log.size() <= from && steady::now() < limit && !to.isClosed())
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        const std::vector<record> &log = m_topics[topic].log;
        std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < log.size(); ++i) {
            const std::string content
                    = static_cast<char>(log[i].key.size()) + log[i].key + log[i].value;
            body += bigEndian(content.size(), 4) + content;
        }
        return answer(200, body, "application/octet-stream");
    }

    std::string newest(const std::string &topic, const std::string &after)
    {
        const std::lock_guard lock(m_mutex);
        const keyed_topic &from = m_topics[topic];
        std::string items;
        std::size_t count = 0;
        auto next = from.newest.upper_bound(after);
        for (; next != from.newest.end() && count < maxItems; ++next, ++count) {
            items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + next->first
                     + "\",\"value\":\"" + base64(from.log[next->second].value)
                     + "\",\"offset\":" + std::to_string(next->second) + "}";
        }
        const bool hasMore = next != from.newest.end();
        return answer(200, "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false")
                                   + ",\"endOffset\":" + std::to_string(from.log.size()) + "}");
    }

    std::string join(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        group &of = m_groups[textField(body, "group")];
        const std::string member = textField(body, "member");
        const auto ttl = std::chrono::milliseconds(
                static_cast<std::int64_t>(std::max(1000.0, numberField(body, "ttlMs"))));
        if (of.members.count(member) == 0)
            ++of.generation;
        of.members[member] = steady::now() + ttl;
        expire(of);
        const std::string parts = of.owner == member ? "[\"placement\",0,0]" : "";
        return answer(200, "{\"generation\":" + std::to_string(of.generation)
                                   + ",\"ttlMs\":2000,\"parts\":[" + parts + "]}");
    }

    std::string leave(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        group &of = m_groups[textField(body, "group")];
        of.generation += of.members.erase(textField(body, "member")) > 0 ? 1 : 0;
        expire(of);
        return answer(200, "{}");
    }

    static void expire(group &of)
    {
        for (auto each = of.members.begin(); each != of.members.end();) {
            const bool isOver = each->second < steady::now();
            of.generation += isOver ? 1 : 0;
            each = isOver ? of.members.erase(each) : std::next(each);
        }
        if (of.members.count(of.owner) == 0)
            of.owner = of.members.empty() ? "" : of.members.begin()->first;
    }

    int m_port = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, keyed_topic> m_topics;
    std::map<std::string, group> m_groups;
};

} // namespace standin

#endif
