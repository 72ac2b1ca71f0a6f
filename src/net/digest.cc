#include "net/digest.h"

#include <glib.h>

namespace foxtailspread {
namespace {

std::string Take(char* text) {
  std::string taken = text == nullptr ? "" : text;
  g_free(text);
  return taken;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  return Take(g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()),
      text.size()));
}

std::string EscapeHeader(std::string_view text) {
  return Take(g_uri_escape_bytes(reinterpret_cast<const guint8*>(text.data()),
                                 text.size(), nullptr));
}

std::string UnescapeHeader(std::string_view text) {
  const std::string copy(text);
  return Take(g_uri_unescape_string(copy.c_str(), nullptr));
}

}  // namespace foxtailspread
