#include "token.h"

#include "base/log.h"

#include <fstream>
#include <stdexcept>
#include <sys/stat.h>

namespace yuccawheel::entry
{

namespace
{

constexpr std::chrono::seconds ReloadInterval{1};
constexpr std::size_t LongestToken = 1024;
constexpr std::size_t ShortestToken = 16;
constexpr std::string_view Scheme = "Bearer ";

std::string readToken(const std::string &file)
{
    struct stat status {
    };
    if (stat(file.c_str(), &status) != 0) {
        throw std::runtime_error(file + ": the operators' token file can't be read");
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        throw std::runtime_error(file + ": the operators' token file must be readable by its owner only (mode 0600)");
    }
    std::ifstream stream(file);
    std::string token;
    std::getline(stream, token);
    if (token.size() < ShortestToken || token.size() > LongestToken) {
        throw std::runtime_error(file + ": the operators' token must have 16 to 1024 characters");
    }
    return token;
}

bool equalInConstantTime(std::string_view given, std::string_view expected)
{
    unsigned difference = given.size() == expected.size() ? 0U : 1U;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const char other = i < given.size() ? given[i] : '\0';
        difference |= static_cast<unsigned char>(other) ^ static_cast<unsigned char>(expected[i]);
    }
    return difference == 0;
}

} // namespace

OperatorToken::OperatorToken(std::string file)
    : file_(std::move(file))
    , token_(readToken(file_))
    , checkedAt_(std::chrono::steady_clock::now())
{
}

bool OperatorToken::matches(std::string_view authorization)
{
    reload();
    if (token_.empty() || authorization.substr(0, Scheme.size()) != Scheme) {
        return false;
    }
    return equalInConstantTime(authorization.substr(Scheme.size()), token_);
}

void OperatorToken::reload()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - checkedAt_ < ReloadInterval) {
        return;
    }
    checkedAt_ = now;
    try {
        token_ = readToken(file_);
    } catch (const std::exception &error) {
        base::logError("token_unusable").with("reason", error.what());
        token_.clear();
    }
}

} // namespace yuccawheel::entry
