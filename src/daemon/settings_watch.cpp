#include "daemon/settings_watch.h"

#include "base/log.h"
#include "settings/reader.h"

#include <csignal>

namespace yuccawheel::daemon
{

namespace
{

constexpr std::chrono::milliseconds LookInterval{1'000}; ///< Platforms allow some seconds for a change to be noticed.

std::string contentOf(const std::string &file)
{
    const auto content = settings::readFile(file, settings::MaxSettingsFileBytes);
    return content ? *content : std::string();
}

} // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context &io, std::string file, settings::Program program, Changed changed)
    : file_(std::move(file))
    , program_(program)
    , changed_(std::move(changed))
    , signals_(io, SIGHUP)
    , timer_(io)
    , content_(contentOf(file_))
{
    awaitSignal();
    awaitLook();
}

void SettingsWatch::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            read("signal");
            awaitSignal();
        }
    });
}

// Not every platform can tell of a change, so the file is compared from time to time.
void SettingsWatch::awaitLook()
{
    timer_.expires_after(LookInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            read("file");
            awaitLook();
        }
    });
}

void SettingsWatch::read(std::string_view reason)
{
    std::string content = contentOf(file_);
    if (content == content_) {
        return;
    }
    content_ = std::move(content);
    const auto settings = settings::loadProcessSettings(file_, program_);
    if (!settings) {
        base::logWarning("settings_faulty").with("reason", reason).with("faults", settings::toString(settings.error()));
        return;
    }
    base::logInfo("settings_reloaded").with("reason", reason).with("seeds", settings->seeds.size());
    changed_(*settings);
}

} // namespace yuccawheel::daemon
