#include "foxtailspread/dispatcher.h"

#include "foxtailspread/dispatcher-inl.h"

namespace foxtailspread {

template class basic_dispatcher<least_loaded_picker>;

}  // namespace foxtailspread
