#ifndef FOXTAILSPREAD_NET_GOBJECT_PTR_H_
#define FOXTAILSPREAD_NET_GOBJECT_PTR_H_

/// @file
/// Owning pointers for the counted and freed types of GLib.

#include <glib-object.h>

#include <memory>

namespace foxtailspread {

/// Drops one reference of a GObject.
struct gobject_unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference of a GObject.
template <typename T>
using gobject_ptr = std::unique_ptr<T, gobject_unref>;

/// Owns one further reference of `object`, which stays owned by its holder.
template <typename T>
gobject_ptr<T> ShareGobject(T* object) {
  return gobject_ptr<T>{static_cast<T*>(g_object_ref(object))};
}

/// Frees a GError.
struct gerror_free {
  void operator()(GError* error) const { g_error_free(error); }
};

/// Owns a GError.
using gerror_ptr = std::unique_ptr<GError, gerror_free>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_GOBJECT_PTR_H_
