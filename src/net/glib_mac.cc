#include "net/glib_mac.h"

#include <glib.h>

namespace foxtailspread {

mac_digest GlibMac(std::string_view key, std::string_view message) {
  GHmac* hmac =
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()),
                 key.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(message.data()),
                static_cast<gssize>(message.size()));
  mac_digest digest;
  gsize length = digest.size();
  g_hmac_get_digest(hmac, digest.data(), &length);
  g_hmac_unref(hmac);
  return digest;
}

}  // namespace foxtailspread
