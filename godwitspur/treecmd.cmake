# Subcommands that need only trees and published configurations, not a daemon. Included by
# CMakeLists.txt of this folder.
add_library(gw_treecmd STATIC
	${CMAKE_CURRENT_LIST_DIR}/cmd_check.c
	${CMAKE_CURRENT_LIST_DIR}/cmd_diff.c
	${CMAKE_CURRENT_LIST_DIR}/cmd_explain.c
	${CMAKE_CURRENT_LIST_DIR}/cmd_published.c
	${CMAKE_CURRENT_LIST_DIR}/cmd_render.c
	${CMAKE_CURRENT_LIST_DIR}/cmd_tree.c)
target_include_directories(gw_treecmd PUBLIC ${CMAKE_CURRENT_LIST_DIR})
target_link_libraries(gw_treecmd PUBLIC gw_mesh gw_platform gw_tree
	PkgConfig::ARGTABLE)
