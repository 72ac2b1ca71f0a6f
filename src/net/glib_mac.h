#ifndef FOXTAILSPREAD_SRC_NET_GLIB_MAC_H_
#define FOXTAILSPREAD_SRC_NET_GLIB_MAC_H_

/// @file
/// The keyed hash that the decision library asks for, from GLib.

#include <string_view>

#include "foxtailspread/action_id.h"

namespace foxtailspread {

/// Computes HMAC-SHA-256; fits mac_function.
mac_digest GlibMac(std::string_view key, std::string_view message);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_SRC_NET_GLIB_MAC_H_
