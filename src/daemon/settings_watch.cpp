#include "daemon/settings_watch.h"

#include "base/log.h"
#include "settings/reader.h"

#include <csignal>

namespace yuccawheel::daemon
{

namespace
{

constexpr std::chrono::milliseconds CheckInterval{1'000}; ///< Platforms allow a change a few seconds to take effect.

std::string readContent(const std::string &file)
{
    const auto content = settings::readFile(file, settings::MaxSettingsFileBytes);
    return content ? *content : std::string();
}

} // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context &io,
                             std::string file,
                             settings::Program program,
                             ChangeCallback onChange)
    : file_(std::move(file))
    , program_(program)
    , onChange_(std::move(onChange))
    , signals_(io, SIGHUP)
    , timer_(io)
    , content_(readContent(file_))
{
    waitForSignal();
    scheduleCheck();
}

void SettingsWatch::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            reloadIfChanged("signal");
            waitForSignal();
        }
    });
}

// Not every platform can signal a change, so the file is also polled.
void SettingsWatch::scheduleCheck()
{
    timer_.expires_after(CheckInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            reloadIfChanged("file");
            scheduleCheck();
        }
    });
}

void SettingsWatch::reloadIfChanged(std::string_view reason)
{
    std::string content = readContent(file_);
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
    onChange_(*settings);
}

} // namespace yuccawheel::daemon
