// The path=value lines of the wire's Init to Settings.
#ifndef TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_
#define TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_

#include <string_view>

#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

// Unknown paths are skipped; a value that its path cannot have throws FormatError.
Settings ParseSettings(std::string_view text);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_SETTINGS_PARSER_HPP_
