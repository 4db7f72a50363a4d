// Files of the operator: bundles, keys and signatures.
#ifndef FESCUEDECK_CTL_BUNDLE_FILES_H
#define FESCUEDECK_CTL_BUNDLE_FILES_H

#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/bundle/signature.h"
#include "fescuedeck/ctl/command_result.h"

namespace fescuedeck {

struct bundle_file
{
    bundle content;
    std::string canonical;
    std::string hash;
};

struct operator_key
{
    std::string keyId;
    key_pair keys;
};

// JSON form: {version, hash, key_id, signature}.
struct bundle_signature
{
    std::int64_t version = 0;
    std::string hash;
    std::string keyId;
    std::string signature;
};

result<std::string> readFile(const std::string &path);
// Parses and checks. If checkBundle finds problems, the detail lists all of them.
result<bundle_file> loadBundleFile(const std::string &path);
// JSON form: {key_id, private_key, public_key}. The file must not exist; only its owner may read
// it.
result<void> writeKeyFile(const std::string &path, const operator_key &key);
result<operator_key> loadKeyFile(const std::string &path);
result<bundle_signature> signBundle(const bundle_file &file, const operator_key &key);
result<bundle_signature> loadSignatureFile(const std::string &path);

// The commands `key generate`, `bundle check` and `bundle sign`.
command_result generateKey(const std::string &keyId, const std::string &path);
command_result checkBundleFile(const std::string &path);
command_result signBundleFile(const std::string &path, const std::string &keyPath);

} // namespace fescuedeck

#endif
