/*
 * A doubly linked intrusive list. A node is part of the structure that it
 * links, so linking allocates nothing and unlinking needs no search. The head
 * of an empty list points to itself.
 */
#ifndef PISTACHIO_LIST_H
#define PISTACHIO_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct list_node {
	struct list_node *prev;
	struct list_node *next;
} list_node_t;

#define LIST_ENTRY(node, type, member) \
	((type *)((char *)(node)-offsetof(type, member)))

#define LIST_FOR_EACH(it, head) \
	for (list_node_t *it = (head)->next; it != (head); it = it->next)

/* Like LIST_FOR_EACH, but the body may unlink the current node. */
#define LIST_FOR_EACH_SAFE(it, head)                                \
	for (list_node_t *it = (head)->next, *it##_next = it->next; \
	     it != (head); it = it##_next, it##_next = it->next)

/* Initializes an empty list, or a node that is not linked. */
static inline void list_init(list_node_t *head)
{
	head->prev = head;
	head->next = head;
}

/* Returns whether the list is empty. */
static inline bool list_empty(const list_node_t *head)
{
	return head->next == head;
}

/* Appends a node, which must not be linked into a list. */
static inline void list_append(list_node_t *head, list_node_t *node)
{
	node->prev = head->prev;
	node->next = head;
	head->prev->next = node;
	head->prev = node;
}

/* Unlinks a node and initializes it, so unlinking it twice is harmless. */
static inline void list_remove(list_node_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

/* Unlinks the first node and returns it, or NULL if the list is empty. */
static inline list_node_t *list_pop(list_node_t *head)
{
	list_node_t *node = head->next;

	if (node == head)
		return NULL;
	list_remove(node);
	return node;
}

#endif
