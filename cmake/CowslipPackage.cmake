# CMake functions that define the targets of the workspace.

# GCC 12 falsely reports an overread when two byte vectors are compared by order.
set(COWSLIP_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror
    $<$<CXX_COMPILER_ID:GNU>:-Wno-stringop-overread>)

# cowslip_package(NAME [DEPENDS target...]): defines the library cowslip_NAME from
# src/*.cc, with public headers in include/. It is header-only without sources.
function(cowslip_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(cowslip_${name} STATIC ${sources})
    target_include_directories(cowslip_${name} PUBLIC include PRIVATE src)
    target_link_libraries(cowslip_${name} PUBLIC ${ARG_DEPENDS})
    target_compile_options(cowslip_${name} PRIVATE ${COWSLIP_WARNINGS})
  else()
    add_library(cowslip_${name} INTERFACE)
    target_include_directories(cowslip_${name} INTERFACE include)
    target_link_libraries(cowslip_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# cowslip_program(NAME SOURCES file... [DEPENDS target...]): defines a program in
# the bin directory of the build.
function(cowslip_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_options(${name} PRIVATE ${COWSLIP_WARNINGS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# cowslip_test(NAME SOURCES file... [DEPENDS target...]): defines a Boost.Test
# program that ctest runs.
function(cowslip_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  cowslip_program(${name} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS} Boost::unit_test_framework)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
