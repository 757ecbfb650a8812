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

/// Reads the settings file again when it changes, and on SIGHUP. Faulty settings are logged and change nothing.
class SettingsWatch
{
public:
    using Changed = std::function<void(const settings::ProcessSettings &)>;

    SettingsWatch(boost::asio::io_context &io, std::string file, settings::Program program, Changed changed);

private:
    void awaitSignal();
    void awaitLook();
    void read(std::string_view reason);

    std::string file_;
    settings::Program program_;
    Changed changed_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::string content_; ///< As last read.
};

} // namespace yuccawheel::daemon
