#pragma once

#include "settings/process_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <string>

namespace yuccawheel::daemon
{

/// Reloads the settings file when its content changes, checked periodically and on SIGHUP. Invalid settings are logged
/// and ignored.
class SettingsWatch
{
public:
    using ChangeCallback = std::function<void(const settings::ProcessSettings &)>;

    SettingsWatch(boost::asio::io_context &io, std::string file, settings::Program program, ChangeCallback onChange);

private:
    void waitForSignal();
    void scheduleCheck();
    void reloadIfChanged(std::string_view reason);

    std::string file_;
    settings::Program program_;
    ChangeCallback onChange_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::string content_; ///< Content at the last read.
};

} // namespace yuccawheel::daemon
