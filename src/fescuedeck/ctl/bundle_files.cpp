#include "fescuedeck/ctl/bundle_files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

#include "fescuedeck/bundle/bundle_yaml.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/bundle/check_bundle.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

failure fileFailure(const std::string &path, const std::string &problem)
{
    return makeFailure(errc::InvalidRequest, path + ": " + problem);
}

failure systemFailure(const std::string &path)
{
    return fileFailure(path, std::strerror(errno));
}

result<json> loadJsonFile(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return text.error();
    json document = json::parse(text.value(), nullptr, false);
    if (!document.is_object())
        return fileFailure(path, "is not a JSON object");
    return document;
}

json signatureJson(const bundle_signature &signature)
{
    return { { "version", signature.version },
             { "hash", signature.hash },
             { "key_id", signature.keyId },
             { "signature", signature.signature } };
}

bool writeAll(int descriptor, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::write(descriptor, text.data() + written, text.size() - written);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return fileFailure(path, "cannot be read, or is empty");
    return text.str();
}

result<bundle_file> loadBundleFile(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return text.error();
    const auto content = parseBundle(text.value());
    if (!content)
        return makeFailure(errc::InvalidBundle, path + ": " + content.error().detail);
    std::string problems;
    for (const failure &problem : checkBundle(content.value()))
        problems += (problems.empty() ? "" : "\n  ") + problem.detail;
    if (!problems.empty())
        return makeFailure(errc::InvalidBundle, path + ":\n  " + problems);
    const std::string canonical = canonicalBundle(content.value());
    return bundle_file{ content.value(), canonical, bundleHash(canonical) };
}

result<void> writeKeyFile(const std::string &path, const operator_key &key)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return systemFailure(path);
    const json document = { { "key_id", key.keyId },
                            { "private_key", key.keys.privateKey },
                            { "public_key", key.keys.publicKey } };
    const bool isWritten = writeAll(descriptor, document.dump(2) + "\n");
    if (::close(descriptor) != 0 || !isWritten)
        return systemFailure(path);
    return boost::outcome_v2::success();
}

result<operator_key> loadKeyFile(const std::string &path)
{
    const auto document = loadJsonFile(path);
    if (!document)
        return document.error();
    try {
        operator_key key;
        key.keyId = document.value().at("key_id").get<std::string>();
        key.keys.privateKey = document.value().at("private_key").get<std::string>();
        const auto publicKey = publicKeyOf(key.keys.privateKey);
        if (!publicKey)
            return publicKey.error();
        key.keys.publicKey = publicKey.value();
        return key;
    } catch (const json::exception &) {
        return fileFailure(path, "is not a key file; make one with `fescuedeckctl key generate`");
    }
}

result<bundle_signature> signBundle(const bundle_file &file, const operator_key &key)
{
    const auto signature = signHash(file.hash, key.keys.privateKey);
    if (!signature)
        return signature.error();
    return bundle_signature{ file.content.version, file.hash, key.keyId, signature.value() };
}

result<bundle_signature> loadSignatureFile(const std::string &path)
{
    const auto document = loadJsonFile(path);
    if (!document)
        return document.error();
    try {
        return bundle_signature{ document.value().at("version").get<std::int64_t>(),
                                 document.value().at("hash").get<std::string>(),
                                 document.value().at("key_id").get<std::string>(),
                                 document.value().at("signature").get<std::string>() };
    } catch (const json::exception &) {
        return fileFailure(path, "is not a signature; make one with `fescuedeckctl bundle sign`");
    }
}

command_result generateKey(const std::string &keyId, const std::string &path)
{
    const auto keys = generateKeyPair();
    if (!keys)
        return failedResult(keys.error());
    const auto written = writeKeyFile(path, { keyId, keys.value() });
    if (!written)
        return failedResult(written.error());
    const std::string &publicKey = keys.value().publicKey;
    return { exit_status::Ok,
             "wrote the private key to " + path + "\napprover of a bundle:\n  - {key_id: " + keyId
                     + ", public_key: " + publicKey + "}\n",
             { { "key_file", path }, { "key_id", keyId }, { "public_key", publicKey } } };
}

command_result checkBundleFile(const std::string &path)
{
    const auto file = loadBundleFile(path);
    if (!file)
        return failedResult(file.error());
    const bundle &content = file.value().content;
    return { exit_status::Ok,
             path + ": version " + std::to_string(content.version) + " on parent "
                     + std::to_string(content.parent) + " is valid, hash " + file.value().hash
                     + "\n",
             { { "version", content.version },
               { "parent", content.parent },
               { "hash", file.value().hash } } };
}

command_result signBundleFile(const std::string &path, const std::string &keyPath)
{
    const auto file = loadBundleFile(path);
    if (!file)
        return failedResult(file.error());
    const auto key = loadKeyFile(keyPath);
    if (!key)
        return failedResult(key.error());
    const auto signature = signBundle(file.value(), key.value());
    if (!signature)
        return failedResult(signature.error());
    const json document = signatureJson(signature.value());
    return { exit_status::Ok, document.dump(2) + "\n", document };
}

} // namespace fescuedeck
