// Parses the settings of a router instance from the `path=value` lines in the simulator's wire format.
#ifndef TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_
#define TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_

#include <string_view>

#include "adapter/format_error.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

// Ignores unknown paths and empty lines. If a path occurs more than once, the last line wins.
Decoded<Settings> ParseSettings(std::string_view text);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_
